package command

import (
	"bytes"
	"fmt"
	"os"

	"github.com/crocuslanding/crocuslanding/core/pkg/program"
	"github.com/crocuslanding/crocuslanding/landingctl/pkg/logs"
	"github.com/crocuslanding/crocuslanding/landingctl/pkg/text"
)

// Trace prints the lines about one request or flow in the logs of several processes. It fails if no line matches or if
// a log cannot be read.
func Trace(e Env, args []string) int {
	if len(args) < 2 {
		fmt.Fprint(e.errOut, text.Usage)
		return program.StatusUsage
	}
	id, paths := args[0], args[1:]
	var all []logs.Line
	for _, path := range paths {
		lines, skipped, err := readLog(path)
		if err != nil {
			return e.fail(err)
		}
		if skipped > 0 {
			fmt.Fprintf(e.errOut, text.LinesSkipped, path, skipped)
		}
		all = append(all, lines...)
	}
	matching := logs.FilterByID(all, id)
	if len(matching) == 0 {
		fmt.Fprintf(e.errOut, text.NoMatchingLines, id, len(all))
		return program.StatusFailed
	}
	for _, l := range matching {
		fmt.Fprintln(e.out, l.Text())
	}
	return program.StatusOK
}

// readLog returns the lines of a log file, and the number of lines that it skipped because they are truncated or were
// written by another program.
func readLog(path string) ([]logs.Line, int, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, 0, err
	}
	return logs.Read(bytes.NewReader(data))
}
