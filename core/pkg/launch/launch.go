// Package launch holds what the start of the programs on the relay path has in common. Unlike package program it
// links no reflection over messages, which is resident memory that a small instance pays for.
package launch

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
	"github.com/crocuslanding/crocuslanding/core/pkg/finding"
	"github.com/crocuslanding/crocuslanding/core/pkg/text"
)

// Exit statuses of every program.
const (
	// StatusOK says that the program did what it was asked to do.
	StatusOK = 0
	// StatusFailed says that the program failed.
	StatusFailed = 1
	// StatusUsage says that arguments or settings are wrong.
	StatusUsage = 2
)

// collectPercent is the growth of the heap, in percent, after which garbage is collected. A relay allocates
// little, so it collects early and stays small.
const collectPercent = 25

// Path returns the path that the flag -settings of args names. Wrong arguments end the program with StatusUsage.
func Path(name string, args []string) string {
	flags := flag.NewFlagSet(name, flag.ExitOnError)
	path := flags.String("settings", "", text.SettingsFlag)
	_ = flags.Parse(args)
	if *path == "" || flags.NArg() > 0 {
		flags.Usage()
		os.Exit(StatusUsage)
	}
	debug.SetGCPercent(collectPercent)
	return *path
}

// ExitOnFindings prints all findings on standard error and ends the program with StatusUsage when there are any.
func ExitOnFindings(findings []landing.Finding) {
	if len(findings) == 0 {
		return
	}
	for _, f := range findings {
		fmt.Fprintln(os.Stderr, finding.Format(f))
	}
	os.Exit(StatusUsage)
}

// Signals returns a context that ends when the process is asked to stop, and a channel that receives when it is
// asked to read its settings again.
func Signals() (context.Context, context.CancelFunc, <-chan os.Signal) {
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	return ctx, cancel, reload
}

// Exit ends the program with the status for err.
func Exit(err error) {
	if err == nil {
		os.Exit(StatusOK)
	}
	fmt.Fprintln(os.Stderr, err)
	os.Exit(StatusFailed)
}
