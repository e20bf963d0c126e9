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

// scrapeTimeout limits the time to read the metrics of one process.
const scrapeTimeout = 2 * time.Second

// Names in the metrics of a process of the relay path.
const (
	metricPrefix   = "crocuslanding_"
	metricRevision = metricPrefix + "revision"
	labelReason    = "reason"
)

// column is a column of the table with one line for each process. Its value is that of the metric with this name and
// this value of the label reason, which is empty for metrics without the label.
type column struct {
	title, metric, reason string
}

// columns are the columns of the table in order. The first one decides which processes are behind.
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

// columnValues holds the values that one process reports. A column is missing if the process does not have its metric.
type columnValues map[column]float64

// Metrics prints a table of the state of the processes of the relay path at these metrics addresses. These processes are
// balancers and sidecars that pass packets on whole to upstreams that terminate TCP themselves. A process is shown
// as behind if its revision of the rules, the first column, is lower than the highest one among the processes. Metrics
// fails if the metrics of a process cannot be read.
func Metrics(e Env, args []string) int {
	if len(args) == 0 {
		fmt.Fprint(e.errOut, text.Usage)
		return program.StatusUsage
	}
	processes := make([]columnValues, len(args))
	newestRevision := 0.0
	status := program.StatusOK
	for i, address := range args {
		values, err := scrapeColumns(e.ctx, address)
		if err != nil {
			fmt.Fprintf(e.errOut, text.MetricsUnavailable, address, err)
			status = program.StatusFailed
			continue
		}
		processes[i] = values
		newestRevision = max(newestRevision, values[columns[0]])
	}
	w := tabwriter.NewWriter(e.out, 0, 0, columnPadding, ' ', 0)
	fmt.Fprint(w, "ADDRESS\tSTATE")
	for _, c := range columns {
		fmt.Fprint(w, "\t"+c.title)
	}
	for i, address := range args {
		fmt.Fprintf(w, "\n%s\t%s", address, formatState(processes[i], newestRevision))
		for _, c := range columns {
			fmt.Fprint(w, "\t"+processes[i].format(c))
		}
	}
	fmt.Fprintln(w)
	_ = w.Flush()
	return status
}

// formatState returns the state of a process: unknown if values is nil because the metrics could not be read, behind if
// the revision of the rules is lower than the newest one, and current otherwise.
func formatState(values columnValues, newestRevision float64) string {
	switch {
	case values == nil:
		return "unknown"
	case values[columns[0]] < newestRevision:
		return "behind"
	}
	return "current"
}

// format returns the value of a column as text, or "-" if the process does not have the metric.
func (values columnValues) format(c column) string {
	value, found := values[c]
	if !found {
		return "-"
	}
	return fmt.Sprintf("%.0f", value)
}

// scrapeColumns reads the metrics of the process at a metrics address and returns the values of the columns. It returns
// trace.ConnectionProblem if the process does not respond with the status 200, and trace.BadParameter if the response is
// not the metrics of a process of the relay path.
func scrapeColumns(ctx context.Context, address string) (columnValues, error) {
	ctx, cancel := context.WithTimeout(ctx, scrapeTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/metrics", http.NoBody)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, trace.ConnectionProblem(err, "no response to the request for metrics")
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return nil, trace.ConnectionProblem(nil, "response to the request for metrics has the status %s", response.Status)
	}
	parser := expfmt.NewTextParser(model.LegacyValidation)
	families, err := parser.TextToMetricFamilies(response.Body)
	if err != nil {
		return nil, trace.BadParameter("metrics cannot be read: %v", err)
	}
	values := columnValues{}
	for _, c := range columns {
		for _, m := range families[c.metric].GetMetric() {
			reason := ""
			for _, l := range m.GetLabel() {
				if l.GetName() == labelReason {
					reason = l.GetValue()
				}
			}
			if reason == c.reason {
				values[c] = m.GetUntyped().GetValue()
			}
		}
	}
	if _, found := values[columns[0]]; !found {
		return nil, trace.BadParameter("not a process of the relay path: the metrics have no revision of the rules")
	}
	return values, nil
}
