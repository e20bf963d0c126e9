package command

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/gravitational/trace"
	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"

	"github.com/crocuslanding/crocuslanding/core/pkg/program"
	"github.com/crocuslanding/crocuslanding/landingctl/pkg/text"
)

const (
	// scrapeTimeout limits the time to read the metrics of one process.
	scrapeTimeout = 2 * time.Second
	// maxMetricsBytes limits the metrics that are read of one process. A process of the relay path has a few kilobytes.
	maxMetricsBytes = 1 << 20
)

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

var (
	versionColumn = column{"VERSION", metricRevision, "version"}
	rulesColumn   = column{"RULES", metricRevision, "rules"}
)

// columns are the columns of the table in order.
var columns = []column{
	versionColumn,
	rulesColumn,
	{"EXCLUSIONS", metricRevision, "exclusions"},
	{"ROLL", metricRevision, "roll"},
	{"ERA", metricRevision, "era"},
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
// as behind if another one has newer rules. Metrics
// fails if the metrics of a process cannot be read.
func Metrics(e Env, args []string) int {
	if len(args) == 0 {
		fmt.Fprint(e.errOut, text.Usage)
		return program.StatusUsage
	}
	processes := make([]columnValues, len(args))
	status := program.StatusOK
	for i, address := range args {
		values, err := scrapeColumns(e.ctx, address)
		if err != nil {
			fmt.Fprintf(e.errOut, text.MetricsUnavailable, address, err)
			status = program.StatusFailed
			continue
		}
		processes[i] = values
	}
	w := tabwriter.NewWriter(e.out, 0, 0, columnPadding, ' ', 0)
	fmt.Fprint(w, "ADDRESS\tSTATE")
	for _, c := range columns {
		fmt.Fprint(w, "\t"+c.title)
	}
	for i, address := range args {
		fmt.Fprintf(w, "\n%s\t%s", address, formatState(processes[i], processes))
		for _, c := range columns {
			fmt.Fprint(w, "\t"+processes[i].format(c))
		}
	}
	fmt.Fprintln(w)
	_ = w.Flush()
	return status
}

// formatState returns the state of a process: unknown if values is nil because the metrics could not be read, behind if
// one of the processes has newer rules, and current otherwise.
func formatState(values columnValues, processes []columnValues) string {
	switch {
	case values == nil:
		return "unknown"
	case slices.ContainsFunc(processes, func(other columnValues) bool { return other != nil && other.hasNewerRules(values) }):
		return "behind"
	}
	return "current"
}

// hasNewerRules reports whether the rules have a higher version than those of the other process. Processes of the previous
// version report only the revision, which is comparable while the platform has not come back from an older copy.
func (values columnValues) hasNewerRules(other columnValues) bool {
	version, isStated := values[versionColumn]
	otherVersion, isOtherStated := other[versionColumn]
	if isStated && isOtherStated {
		return version > otherVersion
	}
	return values[rulesColumn] > other[rulesColumn]
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
// the errors of scrapeMetrics, and trace.BadParameter if the response is not the metrics of a process of the relay path.
func scrapeColumns(ctx context.Context, address string) (columnValues, error) {
	metrics, err := scrapeMetrics(ctx, address)
	if err != nil {
		return nil, err
	}
	values := columnValues{}
	for _, c := range columns {
		if value, found := metrics[metricID{c.metric, c.reason}]; found {
			values[c] = value
		}
	}
	if _, found := values[rulesColumn]; !found {
		return nil, trace.BadParameter("not a process of the relay path: the metrics have no revision of the rules")
	}
	return values, nil
}

// metricID identifies a metric of a process: its name and the value of its label reason, which is empty for a metric
// without the label.
type metricID struct {
	name, reason string
}

// scrapeMetrics reads the metrics of the process at a metrics address. It returns trace.ConnectionProblem if the process
// does not respond with the status 200, and trace.BadParameter if the response cannot be read as metrics.
func scrapeMetrics(ctx context.Context, address string) (map[metricID]float64, error) {
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
	families, err := parser.TextToMetricFamilies(http.MaxBytesReader(nil, response.Body, maxMetricsBytes))
	if err != nil {
		return nil, trace.BadParameter("metrics cannot be read: %v", err)
	}
	values := map[metricID]float64{}
	for name, family := range families {
		for _, m := range family.GetMetric() {
			id := metricID{name: name}
			for _, l := range m.GetLabel() {
				if l.GetName() == labelReason {
					id.reason = l.GetValue()
				}
			}
			values[id] = m.GetUntyped().GetValue()
		}
	}
	return values, nil
}
