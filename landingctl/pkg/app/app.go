// Package app chooses the command that the command line names, and runs it.
package app

import (
	"fmt"
	"os"

	"github.com/crocuslanding/crocuslanding/core/pkg/program"
	"github.com/crocuslanding/crocuslanding/landingctl/pkg/command"
	"github.com/crocuslanding/crocuslanding/landingctl/pkg/text"
)

// Run runs the command and ends the process with its status.
func Run() {
	ctx, cancel := program.SignalContext()
	status := run(command.NewEnv(ctx, os.Stdout, os.Stderr), os.Args[1:])
	cancel()
	os.Exit(status)
}

func run(e command.Env, args []string) int {
	if len(args) == 0 {
		fmt.Fprint(os.Stderr, text.Usage)
		return program.StatusUsage
	}
	switch args[0] {
	case "check":
		return command.Check(e, args[1:])
	case "diff":
		return command.Diff(e, args[1:])
	case "apply":
		return command.Apply(e, args[1:])
	case "zone":
		return command.Zone(e, args[1:])
	case "upstream":
		return command.Upstream(e, args[1:])
	case "status":
		return command.Status(e, args[1:])
	case "explain":
		return command.Explain(e, args[1:])
	case "trace":
		return command.Trace(e, args[1:])
	case "metrics":
		return command.Metrics(e, args[1:])
	case "rotate":
		return command.Rotate(e, args[1:])
	case "history":
		return command.History(e, args[1:])
	default:
		fmt.Fprint(os.Stderr, text.Usage)
		return program.StatusUsage
	}
}
