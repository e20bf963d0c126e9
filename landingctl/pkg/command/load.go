package command

import (
	"flag"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"google.golang.org/protobuf/encoding/protojson"

	"github.com/crocuslanding/crocuslanding/core/gen/codec"
	"github.com/crocuslanding/crocuslanding/core/gen/landing"
	"github.com/crocuslanding/crocuslanding/core/pkg/program"
	"github.com/crocuslanding/crocuslanding/landingctl/pkg/text"
)

const defaultLoadInterval = time.Second

// Load prints the load of the processes of the relay path at these metrics addresses: sums for each service, and a line
// for each sidecar and each balancer, the most loaded one first. Events are counted between two reads. Processes that
// could not be read are listed before the sums, which do not contain them, and Load fails then.
func Load(e Env, args []string) int {
	flags := flag.NewFlagSet("landingctl load", flag.ContinueOnError)
	flags.SetOutput(e.errOut)
	interval := flags.Duration("interval", defaultLoadInterval, text.Interval)
	printJSON := flags.Bool("json", false, text.JSON)
	if err := flags.Parse(args); err != nil {
		return program.StatusUsage
	}
	if flags.NArg() == 0 || *interval < 0 {
		fmt.Fprint(e.errOut, text.Usage)
		return program.StatusUsage
	}
	load, err := readLoad(e.ctx, flags.Args(), *interval)
	if err != nil {
		return e.fail(err)
	}
	if *printJSON {
		b, err := protojson.Marshal(codec.EncodeFleetLoad(load))
		if err != nil {
			return e.fail(err)
		}
		fmt.Fprintln(e.out, string(b))
	} else {
		w := tabwriter.NewWriter(e.out, 0, 0, columnPadding, ' ', 0)
		printLoad(w, load)
		_ = w.Flush()
	}
	if load.UnreadLen() > 0 {
		return program.StatusFailed
	}
	return program.StatusOK
}

// printLoad prints the load of the fleet: what is missing from it, the services, the sidecars and the balancers.
func printLoad(w io.Writer, fleetLoad landing.FleetLoad) {
	read := fleetLoad.SidecarsLen() + fleetLoad.BalancersLen()
	if interval := time.Duration(fleetLoad.IntervalMillis()) * time.Millisecond; interval > 0 {
		fmt.Fprintf(w, text.LoadInterval, read, read+fleetLoad.UnreadLen(), interval)
	} else {
		fmt.Fprintf(w, text.LoadSinceStart, read, read+fleetLoad.UnreadLen())
	}
	for _, b := range fleetLoad.Balancers() {
		if b.EnrolledSidecars() > int64(fleetLoad.SidecarsLen()) {
			fmt.Fprintf(w, text.LoadNotAsked, b.Address(), b.EnrolledSidecars(), fleetLoad.SidecarsLen())
		}
	}
	if fleetLoad.UnreadLen() > 0 {
		fmt.Fprintf(w, text.LoadPartial, fleetLoad.UnreadLen())
	}
	for _, u := range fleetLoad.Unread() {
		fmt.Fprintf(w, "  %s: %s\n", u.Address(), u.Error())
	}
	printServiceLoads(w, fleetLoad.Services())
	printSidecarLoads(w, fleetLoad.Sidecars())
	printBalancerLoads(w, fleetLoad.Balancers())
}

// printServiceLoads prints a line for each service, or nothing if there is none.
func printServiceLoads(w io.Writer, services []landing.ServiceLoad) {
	if len(services) == 0 {
		return
	}
	fmt.Fprintln(w, "\nSERVICE\tSIDECARS\tEJECTED\tNOT ENROLLED\tSLOTS\tBUSY\tRUNNING\tWAITING\tTIMELY\tWAITED TIMELY\tWAITED LATE\tREFUSED")
	for _, s := range services {
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%s\n", s.Service(), s.Sidecars(), s.Ejected(), s.NotEnrolled(), s.Slots(), s.Busy(),
			s.Running(), s.Waiting(), s.WaitingTimely(), s.WaitedTimely(), s.WaitedLate(), formatRefusals(s.Refusals()))
	}
}

// printSidecarLoads prints a line for each sidecar, or nothing if there is none.
func printSidecarLoads(w io.Writer, sidecars []landing.SidecarLoad) {
	if len(sidecars) == 0 {
		return
	}
	fmt.Fprintln(w, "\nSIDECAR\tADDRESS\tSERVICE\tZONE\tENROLLED\tEJECTED\tHEARTBEAT MS\tSLOTS\tBUSY\tRUNNING\tWAITING\tTIMELY\tWAITED TIMELY\tWAITED LATE\tTIMELY USE\tLATENCY MS\tREFUSED")
	for _, s := range sidecars {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d%%\t%.1f\t%s\n", s.Instance(), s.Address(), s.Service(), s.Zone(),
			formatBool(s.Enrolled()), formatBool(s.Ejected()), formatAge(s.HeartbeatAgeMillis()), s.Slots(), s.Busy(), s.Running(), s.Waiting(), s.WaitingTimely(),
			s.WaitedTimely(), s.WaitedLate(), s.UtilizationPermille()/10, float64(s.LatencyMicros())/1000, formatRefusals(s.Refusals()))
	}
}

// printBalancerLoads prints a line for each balancer, or nothing if there is none.
func printBalancerLoads(w io.Writer, balancers []landing.BalancerLoad) {
	if len(balancers) == 0 {
		return
	}
	fmt.Fprintln(w, "\nBALANCER\tSIDECARS\tCACHED\tREFUSED")
	for _, b := range balancers {
		fmt.Fprintf(w, "%s\t%d\t%d\t%s\n", b.Address(), b.EnrolledSidecars(), b.Cached(), formatRefusals(b.Refusals()))
	}
}

// formatRefusals returns the counts as "reason=count", separated by spaces, or "-" if there are none.
func formatRefusals(counts []landing.RefusalCount) string {
	if len(counts) == 0 {
		return "-"
	}
	parts := make([]string, len(counts))
	for i, c := range counts {
		parts[i] = fmt.Sprintf("%s=%d", c.Reason(), c.Count())
	}
	return strings.Join(parts, " ")
}

// formatBool returns "yes" or "no".
func formatBool(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}

// formatAge returns an age in milliseconds, or "never" for the age of an event that has not occurred.
func formatAge(milliseconds int64) string {
	if milliseconds < 0 {
		return "never"
	}
	return fmt.Sprintf("%d", milliseconds)
}
