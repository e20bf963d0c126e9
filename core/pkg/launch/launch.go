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
	// StatusOK says that the program did what it was asked to do.
	StatusOK = 0
	// StatusFailed says that the program failed.
	StatusFailed = 1
	// StatusUsage says that arguments or settings are wrong.
	StatusUsage = 2
)

// logPatience is the longest time for which a process that ends waits for a slow reader of its log.
const logPatience = 200 * time.Millisecond

// collectPercent is the growth of the heap, in percent, after which garbage is collected. A relay allocates
// little, so it collects early and stays small.
const collectPercent = 25

// Program is a program on the relay path.
type Program struct {
	// Name is the name of the program.
	Name string
	// Read reads and checks the settings at path. It returns the name of the instance, the verbosity of its log and all
	// findings.
	Read func(path string) (instance string, verbosity uint32, findings []landing.Finding)
	// Serve runs until ctx ends. Reload receives when the settings at path have changed.
	Serve func(ctx context.Context, c common.Telemetry, reload <-chan os.Signal) error
}

// Run runs the program with the command line's arguments and ends the process.
func Run(p Program, args []string) {
	path := settingsPath(p.Name, args)
	instance, verbosity, findings := p.Read(path)
	exitOnFindings(findings)
	debug.SetGCPercent(collectPercent)
	out := logline.New(os.Stdout)
	out.Start()
	c := common.New(common.NewLogger(out, instance, int(verbosity)), counter.New())
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	err := p.Serve(ctx, c, reload)
	out.Stop(logPatience)
	exit(err)
}

// settingsPath returns the path that the flag -settings names. Wrong arguments end the program with StatusUsage.
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

// exitOnFindings prints all findings on standard error and ends the program with StatusUsage when there are any.
func exitOnFindings(findings []landing.Finding) {
	if len(findings) == 0 {
		return
	}
	for _, f := range findings {
		fmt.Fprintln(os.Stderr, finding.Format(f))
	}
	os.Exit(StatusUsage)
}

// exit ends the program with the status for err.
func exit(err error) {
	if err == nil {
		os.Exit(StatusOK)
	}
	fmt.Fprintln(os.Stderr, err)
	os.Exit(StatusFailed)
}
