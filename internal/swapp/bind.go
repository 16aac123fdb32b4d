package swapp

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"github.com/sycamorewall/sycamorewall/internal/swadmission"
	"github.com/sycamorewall/sycamorewall/internal/swbackend"
	"github.com/sycamorewall/sycamorewall/internal/swindex"
	"github.com/sycamorewall/sycamorewall/internal/swkey"
	"github.com/sycamorewall/sycamorewall/internal/swmember"
	"github.com/sycamorewall/sycamorewall/internal/swpeer"
	"github.com/sycamorewall/sycamorewall/internal/swplatform"
	"github.com/sycamorewall/sycamorewall/internal/swquery"
	"github.com/sycamorewall/sycamorewall/internal/swrollout"
	"github.com/sycamorewall/sycamorewall/internal/swsetting"
)

// drainingTTL is how long a backend server counts as draining after the last leaving notice.
const drainingTTL = 30 * time.Second

// bindHandlers registers the handlers of the protocol between VMs.
func bindHandlers(node *swpeer.Node, engine *swquery.Engine, directory *swmember.Directory, store *swrollout.Store, keys *swkey.Service, limiter *swadmission.Limiter, watcher *swrollout.Watcher) {
	node.Handle(swpeer.MethodBatch, func(ctx context.Context, stream *swpeer.Stream) error {
		return engine.Owner().Serve(ctx, stream)
	})
	swpeer.HandleCall(node, swpeer.MethodProbe, directory.HandleProbe)
	swpeer.HandleCall(node, swpeer.MethodProbeVia, directory.HandleProbeVia)
	swpeer.HandleCall(node, swpeer.MethodGossip, directory.HandleGossip)
	swpeer.HandleCall(node, swpeer.MethodFetch, store.HandleFetch)
	swpeer.HandleCall(node, swpeer.MethodReport, watcher.HandleReport)
	swpeer.HandleCall(node, swpeer.MethodTokens, limiter.AllocateTokens)
	swpeer.HandleCall(node, swpeer.MethodRun, keys.HandleRun)
	swpeer.HandleCall(node, swpeer.MethodHandover, keys.HandleHandover)
}

// bindDocuments registers the validators of rules, catalogues and server lists, and applies accepted versions.
func bindDocuments(store *swrollout.Store, rules *activeRules, registry *swindex.Registry, pool *swbackend.Pool, log zerolog.Logger) {
	store.RegisterKind(swrollout.KindRules, func(value []byte) error {
		_, err := parseRules(value)
		return err
	})
	store.RegisterKind(swindex.KindCatalogue, func(value []byte) error {
		_, err := swindex.DecodeCatalogue(value)
		return err
	})
	store.RegisterKind(swindex.KindServers, func(value []byte) error {
		_, err := swindex.DecodeServerList(value)
		return err
	})
	store.Subscribe(swrollout.KindRules, func(document swrollout.Document) {
		if document.Name != swrollout.RulesName {
			return
		}
		logApplied(log, document, rules.set(document.Version, document.Value, swplatform.Object{}))
	})
	store.Subscribe(swindex.KindCatalogue, func(document swrollout.Document) {
		catalogue, err := swindex.DecodeCatalogue(document.Value)
		if err == nil {
			registry.SetCatalogue(catalogue)
		}
		logApplied(log, document, err)
	})
	store.Subscribe(swindex.KindServers, func(document swrollout.Document) {
		list, err := swindex.DecodeServerList(document.Value)
		if err == nil {
			registry.SetServers(list)
			pool.SetServers(registry.Servers().All())
		}
		logApplied(log, document, err)
	})
}

// logApplied logs whether an accepted document could be applied.
func logApplied(log zerolog.Logger, document swrollout.Document, err error) {
	if err != nil {
		log.Error().Str("Document", document.Key()).Uint64("Version", document.Version).Err(err).Msg("an accepted document could not be applied")
		return
	}
	log.Info().Str("Document", document.Key()).Uint64("Version", document.Version).Msg("document in force")
}

// bindServerShare limits this VM to its share of each backend server's slots and connections. It applies to direct placement
// only, where every VM sends to every backend server.
func bindServerShare(config Config, directory *swmember.Directory, pool *swbackend.Pool) {
	if config.Settings.Query.Placement != swsetting.PlacementDirect {
		return
	}
	pool.SetShare(1, directory.View().Len())
	directory.Subscribe(func(view *swmember.View) { pool.SetShare(1, view.Len()) })
}

// bindRecords marks backend servers as draining when gossip delivers a record that says so.
func bindRecords(recordStore *swmember.RecordStore, registry *swindex.Registry, pool *swbackend.Pool) {
	recordStore.Subscribe(swmember.TopicDraining, func(record swmember.Record) {
		if record.Expires > 0 {
			registry.MarkDraining(record.Key, record.Expires)
			pool.SetLeaving(record.Key)
		}
	})
}

// announceDraining tells the other VMs by gossip that a backend server accepts no new work.
func announceDraining(registry *swindex.Registry, recordStore *swmember.RecordStore, server string) {
	if !registry.MarkDraining(server, drainingTTL) {
		return
	}
	recordStore.Put(swmember.Record{
		Topic:   swmember.TopicDraining,
		Key:     server,
		Version: uint64(time.Now().UnixMilli()),
		Expires: drainingTTL,
	})
}
