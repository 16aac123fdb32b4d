package cmd

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/sycamorewall/sycamorewall/internal/swapp"
	"github.com/sycamorewall/sycamorewall/internal/swbackend"
	"github.com/sycamorewall/sycamorewall/internal/swquarantine"
	"github.com/sycamorewall/sycamorewall/internal/swrollout"
)

// printStatus prints a VM's status as tables, with ages relative to now.
func printStatus(out io.Writer, report *swapp.Status, now time.Time) {
	ready := "ready"
	if !report.Ready {
		ready = "not ready: " + report.Reason
	}
	fmt.Fprintf(out, "VM\t%s in %s (%s), %s\n", report.Name, report.DataCentre, report.Region, ready)
	fmt.Fprintf(out, "Uptime\t%s, version %s\n", age(report.Started, now), report.Version)
	fmt.Fprintf(out, "Rules\tversion %d\n", report.RuleVersion)
	if len(report.Draining) > 0 {
		fmt.Fprintf(out, "Draining\t%s\n", strings.Join(report.Draining, ", "))
	}
	printDocuments(out, report.Documents, now)
	printContacts(out, report.Contacts, now)
	printMembers(out, report.Members)
	printServers(out, report.Servers)
	printSuspects(out, report.Quarantine)
}

func printServers(out io.Writer, servers []swbackend.ServerStatus) {
	if len(servers) == 0 {
		return
	}
	fmt.Fprintf(out, "\nBACKEND SERVER\tSLOTS\tLIMIT\tRUNNING\tWAITING\tCONNECTIONS\tSERVICE TIME\tSTATE\n")
	for i := range servers {
		server := &servers[i]
		fmt.Fprintf(out, "%s\t%d\t%d\t%d\t%d\t%d\t%s\t%s\n", server.Name, server.Slots, server.Limit, server.Running, server.Waiting,
			server.Connections, server.Service.Round(time.Millisecond), serverState(server))
	}
}

func serverState(server *swbackend.ServerStatus) string {
	switch {
	case server.Leaving:
		return "Leaving"
	case server.Shedding:
		return "Shedding"
	default:
		return "Serving"
	}
}

// age returns the time since at, or "never" when at is zero.
func age(at, now time.Time) string {
	if at.IsZero() {
		return "never"
	}
	return now.Sub(at).Round(time.Second).String()
}

func printDocuments(out io.Writer, documents []swrollout.DocumentStatus, now time.Time) {
	if len(documents) == 0 {
		return
	}
	fmt.Fprintf(out, "\nDOCUMENT\tVERSION\tIN FORCE FOR\tNEWER VERSION\n")
	for i := range documents {
		document := &documents[i]
		fmt.Fprintf(out, "%s/%s\t%d\t%s\t%s\n", document.Kind, document.Name, document.Version, age(document.Since, now), newerVersion(document))
	}
}

// newerVersion describes a version above the one in force: rejected by this VM, or announced by another one.
func newerVersion(document *swrollout.DocumentStatus) string {
	if document.Rejected != nil {
		return fmt.Sprintf("%d rejected: %s", document.Rejected.Version, document.Rejected.Reason)
	}
	if document.Announced > document.Version {
		return fmt.Sprintf("%d announced", document.Announced)
	}
	return ""
}

func printContacts(out io.Writer, contacts map[string]time.Time, now time.Time) {
	if len(contacts) == 0 {
		return
	}
	fmt.Fprintf(out, "\nDATA CENTRE\tLAST ANSWER\n")
	for _, dataCentre := range slices.Sorted(maps.Keys(contacts)) {
		fmt.Fprintf(out, "%s\t%s ago\n", dataCentre, age(contacts[dataCentre], now))
	}
}

func printMembers(out io.Writer, members []swapp.MemberStatus) {
	fmt.Fprintf(out, "\nMEMBER\tDATA CENTRE\tSTATE\tCALLER ADDRESS\n")
	for _, member := range members {
		fmt.Fprintf(out, "%s\t%s\t%s\t%s\n", member.Name, member.DataCentre, member.State, member.Caller)
	}
}

func printSuspects(out io.Writer, suspects []swquarantine.Suspect) {
	if len(suspects) == 0 {
		return
	}
	fmt.Fprintf(out, "\nFINGERPRINT\tSTATE\tCRASHES\tSCORE\tLAST CRASH\tTRIALS\n")
	for _, suspect := range suspects {
		state := "suspect"
		if suspect.Quarantined {
			state = "quarantined"
		}
		fmt.Fprintf(out, "%s\t%s\t%d\t%.1f\t%s ago\t%d\n",
			suspect.Fingerprint, state, suspect.Deaths, suspect.Score, suspect.Since.Round(time.Second), suspect.Trials)
	}
}
