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
	"github.com/sycamorewall/sycamorewall/internal/swquery"
	"github.com/sycamorewall/sycamorewall/internal/swrollout"
	"github.com/sycamorewall/sycamorewall/internal/swsetting"
)

// drainingFor is how long a sign that a backend server takes no new work holds without another sign.
const drainingFor = 30 * time.Second

// bindHandlers serves the methods of the protocol between VMs.
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
	swpeer.HandleCall(node, swpeer.MethodRun, keys.ServeRun)
	swpeer.HandleCall(node, swpeer.MethodHandover, keys.ServeHandover)
}

// bindDocuments puts accepted documents in force: rules, catalogues and server lists.
func bindDocuments(store *swrollout.Store, rules *ruleBook, registry *swindex.Registry, pool *swbackend.Pool, log zerolog.Logger) {
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
		logDocument(log, document, rules.put(document.Version, document.Value))
	})
	store.Subscribe(swindex.KindCatalogue, func(document swrollout.Document) {
		catalogue, err := swindex.DecodeCatalogue(document.Value)
		if err == nil {
			registry.SetCatalogue(catalogue)
		}
		logDocument(log, document, err)
	})
	store.Subscribe(swindex.KindServers, func(document swrollout.Document) {
		list, err := swindex.DecodeServerList(document.Value)
		if err == nil {
			registry.SetServers(list)
			pool.SetServers(registry.Servers().All())
		}
		logDocument(log, document, err)
	})
}

func logDocument(log zerolog.Logger, document swrollout.Document, err error) {
	if err != nil {
		log.Error().Str("Document", document.Key()).Uint64("Version", document.Version).Err(err).Msg("an accepted document could not be put in force")
		return
	}
	log.Info().Str("Document", document.Key()).Uint64("Version", document.Version).Msg("document in force")
}

// bindShare gives this VM its part of every backend server's slots and connections where each VM sends for itself.
func bindShare(config Config, directory *swmember.Directory, pool *swbackend.Pool) {
	if config.Settings.Query.Placement != swsetting.PlacementDirect {
		return
	}
	pool.SetShare(1, directory.View().Len())
	directory.Subscribe(func(view *swmember.View) { pool.SetShare(1, view.Len()) })
}

// bindRecords acts on records that gossip brings.
func bindRecords(recordStore *swmember.RecordStore, registry *swindex.Registry, pool *swbackend.Pool) {
	recordStore.Subscribe(swmember.TopicDraining, func(record swmember.Record) {
		if record.Expires > 0 {
			registry.MarkDraining(record.Key, record.Expires)
			pool.SetLeaving(record.Key)
		}
	})
}

// announceDraining spreads the sign that a backend server takes no new work.
func announceDraining(registry *swindex.Registry, recordStore *swmember.RecordStore, server string) {
	if !registry.MarkDraining(server, drainingFor) {
		return
	}
	recordStore.Put(swmember.Record{
		Topic:   swmember.TopicDraining,
		Key:     server,
		Version: uint64(time.Now().UnixMilli()),
		Expires: drainingFor,
	})
}
