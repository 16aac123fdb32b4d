package swrollout

import (
	"context"
	"time"

	"github.com/sycamorewall/sycamorewall/internal/swgroup"
	"github.com/sycamorewall/sycamorewall/internal/swmember"
	"github.com/sycamorewall/sycamorewall/internal/swpeer"
)

const (
	// reportInterval is the time after which a VM repeats an unchanged report, to keep the connection to the watcher open.
	reportInterval = 45 * time.Second
	// maxReportJitter bounds the random delay before a report of a change.
	maxReportJitter = 100 * time.Millisecond
	// reportTimeout is the timeout of one report.
	reportTimeout = time.Second
	// maxReasonSize bounds the reason for a rejection in a report, in bytes.
	maxReasonSize = 512
	// maxReports bounds the number of VMs whose reports a watcher stores.
	maxReports = 4096
)

// ReportRequest tells a watcher which rules a VM has in force.
type ReportRequest struct {
	_ struct{} `cbor:",toarray"`

	Name        string
	RuleVersion uint64
	// Rejected is the reason why a newer version is not in force; it is empty when there is none.
	Rejected string
}

// ReportReply answers a ReportRequest.
type ReportReply struct {
	_ struct{} `cbor:",toarray"`
}

// HandleReport stores the report of a VM of this data centre. It is the handler of swpeer.MethodReport.
func (watcher *Watcher) HandleReport(_ context.Context, _ string, request ReportRequest) (ReportReply, error) {
	watcher.storeReport(request)
	return ReportReply{}, nil
}

func (watcher *Watcher) storeReport(request ReportRequest) {
	watcher.mutex.Lock()
	defer watcher.mutex.Unlock()
	if _, known := watcher.reports[request.Name]; !known && len(watcher.reports) >= maxReports {
		return
	}
	watcher.reports[request.Name] = request
}

// reportLoop reports to the first watcher whenever the rules in force or that watcher change, and every reportInterval.
func (watcher *Watcher) reportLoop(ctx context.Context) {
	group := swgroup.New(ctx)
	defer group.Stop()
	var last ReportRequest
	var lastTo string
	var lastAt time.Time
	for ctx.Err() == nil {
		report := watcher.ownReport()
		to := watcher.firstWatcher()
		if report != last || to.Name != lastTo || time.Since(lastAt) >= reportInterval {
			watcher.storeReport(report)
			group.Go(func(ctx context.Context) { watcher.sendReport(ctx, to, report) })
			last, lastTo, lastAt = report, to.Name, time.Now()
		}
		watcher.awaitReportDue(ctx, reportInterval-time.Since(lastAt))
	}
}

// awaitReportDue waits for a change to report, or until the next regular report is due.
func (watcher *Watcher) awaitReportDue(ctx context.Context, due time.Duration) {
	timer := time.NewTimer(due)
	defer timer.Stop()
	select {
	case <-watcher.reportDue:
		wait(ctx, time.Duration(watcher.randomFraction()*float64(maxReportJitter)))
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
			report.Rejected = status.Rejected.Reason[:min(len(status.Rejected.Reason), maxReasonSize)]
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
