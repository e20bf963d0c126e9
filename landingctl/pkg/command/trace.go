package command

import (
	"bytes"
	"fmt"
	"os"

	"github.com/crocuslanding/crocuslanding/core/pkg/program"
	"github.com/crocuslanding/crocuslanding/landingctl/pkg/logs"
	"github.com/crocuslanding/crocuslanding/landingctl/pkg/text"
)

// Trace shows what the logs of several processes say of one request or flow.
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
	story := logs.Story(all, id)
	if len(story) == 0 {
		fmt.Fprintf(e.errOut, text.NoStory, id, len(all))
		return program.StatusFailed
	}
	for _, l := range story {
		fmt.Fprintln(e.out, l.Text())
	}
	return program.StatusOK
}

func readLog(path string) ([]logs.Line, int, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, 0, err
	}
	return logs.Read(bytes.NewReader(data))
}
