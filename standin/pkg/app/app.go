// Package app runs the stand-in that is named on the command line.
package app

import (
	"context"
	"flag"
	"fmt"
	"os"

	"github.com/crocuslanding/crocuslanding/core/gen/codec"
	"github.com/crocuslanding/crocuslanding/core/gen/landingpb"
	"github.com/crocuslanding/crocuslanding/core/pkg/common"
	"github.com/crocuslanding/crocuslanding/core/pkg/counter"
	"github.com/crocuslanding/crocuslanding/core/pkg/program"
	"github.com/crocuslanding/crocuslanding/core/pkg/settings"
	"github.com/crocuslanding/crocuslanding/standin/pkg/client"
	"github.com/crocuslanding/crocuslanding/standin/pkg/fabric"
	"github.com/crocuslanding/crocuslanding/standin/pkg/platform"
	"github.com/crocuslanding/crocuslanding/standin/pkg/upstream"
)

const usage = "usage: standin platform|fabric|upstream -settings FILE | client [flags]"

// Run runs the stand-in that the first argument names until the process receives a termination signal, and ends the
// process. The clients end by themselves.
func Run() {
	if len(os.Args) < 2 {
		exitUsage()
	}
	ctx, cancel := program.SignalContext()
	defer cancel()
	switch os.Args[1] {
	case "platform":
		runPlatform(ctx, os.Args[2:])
	case "fabric":
		runFabric(ctx, os.Args[2:])
	case "upstream":
		runUpstream(ctx, os.Args[2:])
	case "client":
		runClient(ctx, os.Args[2:])
	default:
		exitUsage()
	}
}

// exitUsage prints the usage text and ends the process.
func exitUsage() {
	fmt.Fprintln(os.Stderr, usage)
	os.Exit(program.StatusUsage)
}

// runPlatform runs the stand-in for the platform's object API.
func runPlatform(ctx context.Context, args []string) {
	message := &landingpb.PlatformSettings{}
	program.ReadSettings("platform", args, message, func(report func(place, fault string)) {
		settings.CheckPlatform(codec.DecodePlatformSettings(message), report)
	})
	s, err := platform.New(codec.DecodePlatformSettings(message))
	if err != nil {
		program.Exit(err)
	}
	s.Start()
	<-ctx.Done()
	s.Stop()
	program.Exit(nil)
}

// runFabric runs the stand-in for the fabric.
func runFabric(ctx context.Context, args []string) {
	message := &landingpb.FabricSettings{}
	program.ReadSettings("fabric", args, message, func(report func(place, fault string)) {
		settings.CheckFabric(codec.DecodeFabricSettings(message), report)
	})
	telemetry := newTelemetry("fabric")
	f, err := fabric.New(telemetry, codec.DecodeFabricSettings(message))
	if err != nil {
		program.Exit(err)
	}
	f.Start()
	<-ctx.Done()
	f.Stop()
	program.Exit(nil)
}

// runUpstream runs the stand-in for an upstream. The upstream announces its start and its shutdown to its sidecar.
func runUpstream(ctx context.Context, args []string) {
	message := &landingpb.UpstreamSettings{}
	program.ReadSettings("upstream", args, message, func(report func(place, fault string)) {
		settings.CheckUpstream(codec.DecodeUpstreamSettings(message), report)
	})
	upstreamSettings := codec.DecodeUpstreamSettings(message)
	u, err := upstream.New(newTelemetry(upstreamSettings.Instance()), upstreamSettings)
	if err != nil {
		program.Exit(err)
	}
	u.Start()
	<-ctx.Done()
	u.AnnounceLeaving()
	u.Stop()
	program.Exit(nil)
}

// runClient runs the HTTP clients once and prints their results.
func runClient(ctx context.Context, args []string) {
	flags := flag.NewFlagSet("client", flag.ExitOnError)
	requests := flags.String("requests", "", "TCP address for feeds and confirmations")
	download := flags.String("download", "", "TCP address for downloads")
	refused := flags.String("refused", "", "TCP address of a service that the caller's plan does not grant")
	lines := flags.Int("lines", 50, "length of the feed in lines")
	_ = flags.Parse(args)
	program.Exit(client.Run(ctx, os.Stdout, client.NewTargets(*requests, *download, *refused), *lines))
}

// newTelemetry returns a logger that writes informational messages to the standard error output, and new counters.
func newTelemetry(instance string) common.Telemetry {
	return common.New(common.NewLogger(os.Stderr, instance, 0), counter.New())
}
