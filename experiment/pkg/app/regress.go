package app

import (
	"context"
	"flag"
	"os"

	"github.com/gravitational/trace"

	"github.com/crocuslanding/crocuslanding/experiment/pkg/regression"
	"github.com/crocuslanding/crocuslanding/platform/bench"
)

// regress plays the days of the baseline on the users' test bench and compares the results. It returns an error when a
// day is worse.
func regress(args []string) error {
	flags := flag.NewFlagSet("regress", flag.ExitOnError)
	program := flags.String("bench", "", "path of the program of the users' test bench")
	folder := flags.String("sites", "", "folder to which the paths of sites are relative")
	path := flags.String("baseline", "deploy/regression.json", "file with the results of the last landing")
	output := flags.String("write", "", "file to which the results are written, as the next baseline")
	commit := flags.String("commit", "", "commit that is played, for the file with the results")
	reason := flags.String("why", "regression run", "reason for the plays, for the journal")
	_ = flags.Parse(args)
	if *program == "" || *folder == "" || flags.NArg() > 0 {
		flags.Usage()
		return trace.BadParameter("-bench and -sites are needed")
	}
	baseline, err := regression.ReadFile(*path)
	if err != nil {
		return err
	}
	results, isGood := regression.Run(context.Background(), os.Stdout, bench.NewPlayer(*program, *folder, *reason), baseline)
	if *output != "" {
		if err := regression.WriteFile(*output, results.WithCommit(*commit)); err != nil {
			return err
		}
	}
	if !isGood {
		return trace.CompareFailed("days are worse than in %s", *path)
	}
	return nil
}
