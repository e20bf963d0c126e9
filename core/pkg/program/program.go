// Package program holds what the start of every program has in common.
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
	// StatusOK says that the program did what it was asked to do.
	StatusOK = 0
	// StatusFailed says that the program failed.
	StatusFailed = 1
	// StatusUsage says that arguments, settings or lists are wrong.
	StatusUsage = 2
)

// ReadSettings reads the file that the flag -settings of args names into m, and calls check with
// a function that takes findings. When there are findings or the arguments are wrong, they are
// printed and the program ends with StatusUsage.
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

// ExitOnFindings prints all findings and ends the program with StatusUsage when there are any.
func ExitOnFindings(findings []landing.Finding) {
	if len(findings) == 0 {
		return
	}
	for _, f := range findings {
		fmt.Fprintln(os.Stderr, finding.Format(f))
	}
	os.Exit(StatusUsage)
}

// SignalContext returns a context that ends when the process is asked to stop.
func SignalContext() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
}

// Exit ends the program with the status for err.
func Exit(err error) {
	if err == nil {
		os.Exit(StatusOK)
	}
	fmt.Fprintln(os.Stderr, err)
	os.Exit(StatusFailed)
}
