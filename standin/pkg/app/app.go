// Package app chooses the stand-in that the command line names, and runs it.
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

// Run runs the stand-in until it is asked to stop, and ends the process.
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

func exitUsage() {
	fmt.Fprintln(os.Stderr, usage)
	os.Exit(program.StatusUsage)
}

func runPlatform(ctx context.Context, args []string) {
	m := &landingpb.PlatformSettings{}
	program.ReadSettings("platform", args, m, func(report func(place, fault string)) {
		settings.CheckPlatform(codec.DecodePlatformSettings(m), report)
	})
	s, err := platform.New(codec.DecodePlatformSettings(m))
	if err != nil {
		program.Exit(err)
	}
	s.Start()
	<-ctx.Done()
	s.Stop()
	program.Exit(nil)
}

func runFabric(ctx context.Context, args []string) {
	m := &landingpb.FabricSettings{}
	program.ReadSettings("fabric", args, m, func(report func(place, fault string)) {
		settings.CheckFabric(codec.DecodeFabricSettings(m), report)
	})
	c := newCommon("fabric")
	f, err := fabric.New(c, codec.DecodeFabricSettings(m))
	if err != nil {
		program.Exit(err)
	}
	f.Start()
	<-ctx.Done()
	f.Stop()
	program.Exit(nil)
}

func runUpstream(ctx context.Context, args []string) {
	m := &landingpb.UpstreamSettings{}
	program.ReadSettings("upstream", args, m, func(report func(place, fault string)) {
		settings.CheckUpstream(codec.DecodeUpstreamSettings(m), report)
	})
	s := codec.DecodeUpstreamSettings(m)
	u, err := upstream.New(newCommon(s.Instance()), s)
	if err != nil {
		program.Exit(err)
	}
	u.Start()
	<-ctx.Done()
	u.AnnounceLeaving()
	u.Stop()
	program.Exit(nil)
}

func runClient(ctx context.Context, args []string) {
	flags := flag.NewFlagSet("client", flag.ExitOnError)
	requests := flags.String("requests", "", "TCP address for feeds and confirmations")
	download := flags.String("download", "", "TCP address for downloads")
	refused := flags.String("refused", "", "TCP address of a service that the caller's plan does not grant")
	lines := flags.Int("lines", 50, "length of the feed in lines")
	_ = flags.Parse(args)
	program.Exit(client.Run(ctx, os.Stdout, client.NewTargets(*requests, *download, *refused), *lines))
}

func newCommon(instance string) common.Telemetry {
	return common.New(common.NewLogger(os.Stderr, instance, 0), counter.New())
}
