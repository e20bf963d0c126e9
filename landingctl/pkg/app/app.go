// Package app runs the command that is named on the command line.
package app

import (
	"fmt"
	"os"

	"github.com/crocuslanding/crocuslanding/core/pkg/program"
	"github.com/crocuslanding/crocuslanding/landingctl/pkg/command"
	"github.com/crocuslanding/crocuslanding/landingctl/pkg/text"
)

// Run runs the command with the arguments of the process and ends the process with the command's exit status.
func Run() {
	ctx, cancel := program.SignalContext()
	status := run(command.NewEnv(ctx, os.Stdout, os.Stderr), os.Args[1:])
	cancel()
	os.Exit(status)
}

// run runs the command that the first argument names, with the remaining arguments, and returns its exit status. It
// prints the usage text if there is no such command.
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
	case "load":
		return command.Load(e, args[1:])
	case "rotate":
		return command.Rotate(e, args[1:])
	case "history":
		return command.History(e, args[1:])
	default:
		fmt.Fprint(os.Stderr, text.Usage)
		return program.StatusUsage
	}
}
