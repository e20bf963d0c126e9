// Package launch contains the startup code that the programs of the relay path share. On this path, packets are passed
// on whole to upstreams, which terminate TCP themselves. Unlike package program, it does not link protobuf reflection,
// whose resident memory is significant on a small instance.
package launch

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
	"github.com/crocuslanding/crocuslanding/core/pkg/common"
	"github.com/crocuslanding/crocuslanding/core/pkg/counter"
	"github.com/crocuslanding/crocuslanding/core/pkg/finding"
	"github.com/crocuslanding/crocuslanding/core/pkg/logline"
	"github.com/crocuslanding/crocuslanding/core/pkg/text"
)

// Exit statuses of every program.
const (
	// StatusOK means that the program succeeded.
	StatusOK = 0
	// StatusFailed means that the program failed.
	StatusFailed = 1
	// StatusUsage means that the arguments or the settings are invalid.
	StatusUsage = 2
)

// logFlushTimeout is the longest time that a process waits at its end for the queued log lines to be written.
const logFlushTimeout = 200 * time.Millisecond

// gcPercent is the growth of the heap, in percent, after which garbage is collected. It is below Go's default of 100 to
// save memory. A relay allocates so little that the additional collections cost little CPU time.
const gcPercent = 25

// Program is a program on the relay path.
type Program struct {
	// Name is the name of the program.
	Name string
	// Read reads and checks the settings file at path. It returns the instance name and the log verbosity from the
	// settings, and all findings about them.
	Read func(path string) (instance string, verbosity uint32, findings []landing.Finding)
	// Serve runs the program until ctx is canceled. reload receives a signal (SIGHUP) when the settings file has been
	// changed and is to be read again.
	Serve func(ctx context.Context, c common.Telemetry, reload <-chan os.Signal) error
}

// Run runs the program with these command line arguments, without the program name, and exits the process. SIGTERM and
// SIGINT cancel the context of Serve.
func Run(p Program, args []string) {
	path := settingsPath(p.Name, args)
	instance, verbosity, findings := p.Read(path)
	exitOnFindings(findings)
	debug.SetGCPercent(gcPercent)
	logWriter := logline.New(os.Stdout)
	logWriter.Start()
	c := common.New(common.NewLogger(logWriter, instance, int(verbosity)), counter.New())
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	err := p.Serve(ctx, c, reload)
	logWriter.Stop(logFlushTimeout)
	exit(err)
}

// settingsPath returns the value of the flag -settings. On invalid arguments it exits the process with StatusUsage.
func settingsPath(name string, args []string) string {
	flags := flag.NewFlagSet(name, flag.ExitOnError)
	path := flags.String("settings", "", text.SettingsFlagUsage)
	_ = flags.Parse(args)
	if *path == "" || flags.NArg() > 0 {
		flags.Usage()
		os.Exit(StatusUsage)
	}
	return *path
}

// exitOnFindings prints the findings to standard error and exits the process with StatusUsage. It does nothing when
// there are no findings.
func exitOnFindings(findings []landing.Finding) {
	if len(findings) == 0 {
		return
	}
	for _, f := range findings {
		fmt.Fprintln(os.Stderr, finding.Format(f))
	}
	os.Exit(StatusUsage)
}

// exit exits the process with StatusOK when err is nil. Otherwise it prints err to standard error and exits with
// StatusFailed.
func exit(err error) {
	if err == nil {
		os.Exit(StatusOK)
	}
	fmt.Fprintln(os.Stderr, err)
	os.Exit(StatusFailed)
}
