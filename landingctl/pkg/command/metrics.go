package command

import (
	"context"
	"fmt"
	"net/http"
	"text/tabwriter"
	"time"

	"github.com/gravitational/trace"
	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"

	"github.com/crocuslanding/crocuslanding/core/pkg/program"
	"github.com/crocuslanding/crocuslanding/landingctl/pkg/text"
)

// scrapeTime bounds the answer of one process.
const scrapeTime = 2 * time.Second

// Metrics of a process of the relay path that tell what it believes.
const (
	metricPrefix   = "crocuslanding_"
	metricRevision = metricPrefix + "revision"
	labelReason    = "reason"
)

// column is a value that is shown of each process.
type column struct {
	title, metric, reason string
}

var columns = []column{
	{"RULES", metricRevision, "rules"},
	{"EXCLUSIONS", metricRevision, "exclusions"},
	{"ROLL", metricRevision, "roll"},
	{"SIDECARS", metricPrefix + "sidecars", ""},
	{"CACHED", metricPrefix + "cached", ""},
	{"FLOWS", metricPrefix + "flows", ""},
	{"RUNNING", metricPrefix + "running", ""},
	{"WAITING", metricPrefix + "waiting", ""},
	{"HEARTBEAT MS", metricPrefix + "heartbeat_age_ms", ""},
}

// belief is what one process believes: the values of the columns that it has.
type belief map[column]float64

// Metrics shows what the processes of the relay path at these metrics addresses believe, and who is behind.
func Metrics(e Env, args []string) int {
	if len(args) == 0 {
		fmt.Fprint(e.errOut, text.Usage)
		return program.StatusUsage
	}
	beliefs := make([]belief, len(args))
	newest := 0.0
	status := program.StatusOK
	for i, address := range args {
		b, err := readBelief(e.ctx, address)
		if err != nil {
			fmt.Fprintf(e.errOut, text.NoMetrics, address, err)
			status = program.StatusFailed
			continue
		}
		beliefs[i] = b
		newest = max(newest, b[columns[0]])
	}
	w := tabwriter.NewWriter(e.out, 0, 0, columnGap, ' ', 0)
	fmt.Fprint(w, "ADDRESS\tSTATE")
	for _, c := range columns {
		fmt.Fprint(w, "\t"+c.title)
	}
	for i, address := range args {
		fmt.Fprintf(w, "\n%s\t%s", address, stateOf(beliefs[i], newest))
		for _, c := range columns {
			fmt.Fprint(w, "\t"+beliefs[i].show(c))
		}
	}
	fmt.Fprintln(w)
	_ = w.Flush()
	return status
}

func stateOf(b belief, newest float64) string {
	switch {
	case b == nil:
		return "unknown"
	case b[columns[0]] < newest:
		return "behind"
	}
	return "current"
}

func (b belief) show(c column) string {
	value, found := b[c]
	if !found {
		return "-"
	}
	return fmt.Sprintf("%.0f", value)
}

// readBelief returns what the process at a metrics address believes.
func readBelief(ctx context.Context, address string) (belief, error) {
	ctx, cancel := context.WithTimeout(ctx, scrapeTime)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/metrics", http.NoBody)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return nil, trace.ConnectionProblem(err, "no answer")
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, trace.ConnectionProblem(nil, "%s", resp.Status)
	}
	parser := expfmt.NewTextParser(model.LegacyValidation)
	families, err := parser.TextToMetricFamilies(resp.Body)
	if err != nil {
		return nil, trace.BadParameter("metrics cannot be read: %v", err)
	}
	b := belief{}
	for _, c := range columns {
		for _, m := range families[c.metric].GetMetric() {
			reason := ""
			for _, l := range m.GetLabel() {
				if l.GetName() == labelReason {
					reason = l.GetValue()
				}
			}
			if reason == c.reason {
				b[c] = m.GetUntyped().GetValue()
			}
		}
	}
	if _, found := b[columns[0]]; !found {
		return nil, trace.BadParameter("no process of the relay path")
	}
	return b, nil
}
