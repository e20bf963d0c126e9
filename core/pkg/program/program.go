// Package program contains the startup code that the programs share. The programs of the relay path, on which packets
// are passed on whole to upstreams, use package launch instead.
package program

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"google.golang.org/protobuf/proto"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
	"github.com/crocuslanding/crocuslanding/core/pkg/document"
	"github.com/crocuslanding/crocuslanding/core/pkg/finding"
	"github.com/crocuslanding/crocuslanding/core/pkg/text"
)

// Exit statuses of every program.
const (
	// StatusOK means that the program succeeded.
	StatusOK = 0
	// StatusFailed means that the program failed.
	StatusFailed = 1
	// StatusUsage means that the arguments, the settings or the lists are invalid.
	StatusUsage = 2
)

// ReadSettings reads the settings file that the flag -settings in args names into m. When the file matches the schema,
// it calls check, which reports further errors with the function report. When the arguments are invalid, the file
// cannot be read or there are findings, it prints them and exits the process with StatusUsage.
func ReadSettings(name string, args []string, m proto.Message, check func(report func(place, fault string))) {
	flags := flag.NewFlagSet(name, flag.ExitOnError)
	path := flags.String("settings", "", text.SettingsFlagUsage)
	_ = flags.Parse(args)
	if *path == "" || flags.NArg() > 0 {
		flags.Usage()
		os.Exit(StatusUsage)
	}
	data, err := os.ReadFile(*path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(StatusUsage)
	}
	d := document.Parse(*path, data, m)
	if len(d.Findings()) == 0 {
		check(d.AddFinding)
	}
	ExitOnFindings(d.Findings())
}

// ExitOnFindings prints the findings to standard error and exits the process with StatusUsage. It does nothing when
// there are no findings.
func ExitOnFindings(findings []landing.Finding) {
	if len(findings) == 0 {
		return
	}
	for _, f := range findings {
		fmt.Fprintln(os.Stderr, finding.Format(f))
	}
	os.Exit(StatusUsage)
}

// SignalContext returns a context that is canceled when the process receives SIGTERM or SIGINT.
func SignalContext() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
}

// Exit exits the process with StatusOK when err is nil. Otherwise it prints err to standard error and exits with
// StatusFailed.
func Exit(err error) {
	if err == nil {
		os.Exit(StatusOK)
	}
	fmt.Fprintln(os.Stderr, err)
	os.Exit(StatusFailed)
}
