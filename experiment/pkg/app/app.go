// Package app is the command line of the experiment program.
package app

import (
	"flag"
	"fmt"
	"os"

	"github.com/crocuslanding/crocuslanding/core/pkg/program"
	"github.com/crocuslanding/crocuslanding/experiment/pkg/measure"
)

const usage = `usage: experiment [-out FOLDER] [balance] [capacity] [changes] [download] [zone]   (all when none is named)
       experiment regress -bench PROGRAM -sites FOLDER [-baseline FILE] [-write FILE -commit COMMIT]`

// Run runs the measurements named on the command line, or all of them when none is named, and exits the process.
func Run() {
	folder := flag.String("out", "out", "folder for plots")
	flag.Usage = func() {
		fmt.Fprintln(os.Stderr, usage)
		flag.PrintDefaults()
	}
	flag.Parse()
	names := flag.Args()
	if len(names) > 0 && names[0] == "regress" {
		program.Exit(regress(names[1:]))
	}
	if len(names) == 0 {
		names = []string{"changes", "balance", "capacity", "download", "zone"}
	}
	if err := os.MkdirAll(*folder, 0o755); err != nil {
		program.Exit(err)
	}
	for _, name := range names {
		if err := run(name, *folder); err != nil {
			program.Exit(err)
		}
	}
	program.Exit(nil)
}

// run runs the measurement with this name. For an unknown name it prints the usage and exits with program.StatusUsage.
func run(name, folder string) error {
	switch name {
	case "balance":
		return measure.Balance(os.Stdout)
	case "capacity":
		return measure.Capacity(os.Stdout)
	case "changes":
		return measure.Changes(os.Stdout, folder)
	case "download":
		return measure.Download(os.Stdout)
	case "zone":
		return measure.Zone(os.Stdout, folder)
	default:
		fmt.Fprintln(os.Stderr, usage)
		os.Exit(program.StatusUsage)
	}
	return nil
}
