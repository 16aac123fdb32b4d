package swrollout

import (
	"context"
	"time"

	"github.com/sycamorewall/sycamorewall/internal/swgroup"
	"github.com/sycamorewall/sycamorewall/internal/swmember"
	"github.com/sycamorewall/sycamorewall/internal/swpeer"
)

const (
	// reportEvery is the time after which a VM reports again without news. It keeps the connection to the watcher open.
	reportEvery = 45 * time.Second
	// reportJitter bounds the wait before a report with news.
	reportJitter = 100 * time.Millisecond
	// reportTimeout bounds one report.
	reportTimeout = time.Second
	// maxReason is the longest reason for a rejection in a report, in bytes.
	maxReason = 512
	// maxReports bounds the VMs whose reports a watcher keeps.
	maxReports = 4096
)

// ReportRequest tells a watcher which rules a VM has in force.
type ReportRequest struct {
	_ struct{} `cbor:",toarray"`

	Name        string
	RuleVersion uint64
	// Rejected is the reason why a newer version is not in force, or empty.
	Rejected string
}

// ReportReply answers a ReportRequest.
type ReportReply struct {
	_ struct{} `cbor:",toarray"`
}

// HandleReport takes the report of a VM of the own data centre. Register it for swpeer.MethodReport.
func (watcher *Watcher) HandleReport(_ context.Context, _ string, request ReportRequest) (ReportReply, error) {
	watcher.takeReport(request)
	return ReportReply{}, nil
}

func (watcher *Watcher) takeReport(request ReportRequest) {
	watcher.mutex.Lock()
	defer watcher.mutex.Unlock()
	if _, known := watcher.reports[request.Name]; !known && len(watcher.reports) >= maxReports {
		return
	}
	watcher.reports[request.Name] = request
}

// reportLoop reports to the first watcher at every change of the rules in force or of that watcher, and now and then.
func (watcher *Watcher) reportLoop(ctx context.Context) {
	group := swgroup.New(ctx)
	defer group.Stop()
	var last ReportRequest
	var lastTo string
	var lastAt time.Time
	for ctx.Err() == nil {
		report := watcher.ownReport()
		to := watcher.firstWatcher()
		if report != last || to.Name != lastTo || time.Since(lastAt) >= reportEvery {
			watcher.takeReport(report)
			group.Go(func(ctx context.Context) { watcher.sendReport(ctx, to, report) })
			last, lastTo, lastAt = report, to.Name, time.Now()
		}
		watcher.awaitNews(ctx, reportEvery-time.Since(lastAt))
	}
}

// awaitNews waits for news, or until the next regular report is due.
func (watcher *Watcher) awaitNews(ctx context.Context, due time.Duration) {
	timer := time.NewTimer(due)
	defer timer.Stop()
	select {
	case <-watcher.reportDue:
		wait(ctx, time.Duration(watcher.draw()*float64(reportJitter)))
	case <-timer.C:
	case <-ctx.Done():
	}
}

func (watcher *Watcher) ownReport() ReportRequest {
	report := ReportRequest{Name: watcher.config.Directory.View().Self.Name}
	for _, status := range watcher.config.Store.Status() {
		if status.Kind != KindRules || status.Name != RulesName {
			continue
		}
		report.RuleVersion = status.Version
		if status.Rejected != nil {
			report.Rejected = status.Rejected.Reason[:min(len(status.Rejected.Reason), maxReason)]
		}
	}
	return report
}

// firstWatcher returns the watcher that writes the data centre's status.
func (watcher *Watcher) firstWatcher() swmember.Member {
	view := watcher.config.Directory.View()
	for _, member := range view.Watchers(view.Self.DataCentre) {
		return member
	}
	return view.Self
}

func (watcher *Watcher) sendReport(ctx context.Context, to swmember.Member, report ReportRequest) {
	if to.Name == report.Name {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	var reply ReportReply
	if err := watcher.config.Transport.Call(ctx, to.Peer, swpeer.MethodReport, report, &reply); err != nil {
		watcher.config.Log.Debug().Err(err).Str("To", to.Name).Msg("report failed")
	}
}
