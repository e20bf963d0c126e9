// Package command implements the commands of landingctl.
//
// The lists are the configuration that operators edit: services, customers and plans. They are stored at the platform, a
// service outside the fleet that keeps versioned objects. The fleet consists of all balancers and sidecars. An exclusion
// mark records that an availability zone or an upstream is excluded from traffic, or that it is readmitted.
package command

import (
	"context"
	"flag"
	"io"
	"os"
	"os/user"
	"strings"
	"time"

	"google.golang.org/grpc/credentials"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
	"github.com/crocuslanding/crocuslanding/core/pkg/counter"
	"github.com/crocuslanding/crocuslanding/core/pkg/identity"
	"github.com/crocuslanding/crocuslanding/core/pkg/platform"
	"github.com/crocuslanding/crocuslanding/core/pkg/program"
	"github.com/crocuslanding/crocuslanding/landingctl/pkg/fleet"
	"github.com/crocuslanding/crocuslanding/landingctl/pkg/text"
)

// Exit statuses besides those of package program.
const (
	// StatusConflict means that the change was refused because another operator's change came first.
	StatusConflict = 3
	// StatusPending means that the change was accepted but was not in force at all balancers within the wait timeout, or
	// when the command was interrupted.
	StatusPending = 4
)

const (
	defaultWaitTimeout = 15 * time.Second
	// pollInterval is the time between two queries of the balancers while a command waits for a change.
	pollInterval = 200 * time.Millisecond
	// unknownAuthor is the author of a change if the user of the process cannot be determined.
	unknownAuthor = "unknown"
	// maxHistoryEntries limits the number of changes that the command history prints.
	maxHistoryEntries = 50
)

// Env is the environment of a command: its context and its output streams.
type Env struct {
	ctx    context.Context
	out    io.Writer
	errOut io.Writer
}

// NewEnv returns an environment whose commands print results to out and errors to errOut, and stop when ctx is done.
func NewEnv(ctx context.Context, out, errOut io.Writer) Env {
	return Env{ctx: ctx, out: out, errOut: errOut}
}

// options holds the flags and arguments of a command. All commands have the same flags, except trace and metrics, which
// have none, and load, which has its own.
type options struct {
	platformAddress   string
	balancerAddresses string
	author            string
	waitTimeout       time.Duration
	baseSerial        uint64
	callerPort        uint
	dryRun            bool
	printJSON         bool
	creds             credentials.TransportCredentials
	args              []string
}

// parse parses the flags and arguments of a command that has this number of arguments. If they are wrong, it prints the
// reason and returns false.
func (e Env) parse(command string, args []string, argumentCount int) (options, bool) {
	var o options
	flags := flag.NewFlagSet("landingctl "+command, flag.ContinueOnError)
	flags.SetOutput(e.errOut)
	flags.StringVar(&o.platformAddress, "platform", os.Getenv("LANDING_PLATFORM"), text.Platform)
	flags.StringVar(&o.balancerAddresses, "balancers", os.Getenv("LANDING_BALANCERS"), text.Balancers)
	flags.StringVar(&o.author, "author", defaultAuthor(), text.Author)
	flags.DurationVar(&o.waitTimeout, "wait", defaultWaitTimeout, text.Wait)
	flags.Uint64Var(&o.baseSerial, "base", 0, text.Base)
	flags.UintVar(&o.callerPort, "port", 0, text.Port)
	flags.BoolVar(&o.dryRun, "dry-run", false, text.DryRun)
	flags.BoolVar(&o.printJSON, "json", false, text.JSON)
	certificate := flags.String("certificate", "", text.Certificate)
	key := flags.String("key", "", text.Key)
	authority := flags.String("authority", "", text.Authority)
	if err := flags.Parse(args); err != nil {
		return o, false
	}
	id := landing.Identity{}.WithCertificate(*certificate).WithKey(*key).WithAuthority(*authority)
	creds, err := identity.New(id, counter.New())
	if err != nil {
		io.WriteString(e.errOut, err.Error()+"\n")
		return o, false
	}
	o.creds = creds
	o.args = flags.Args()
	if len(o.args) != argumentCount {
		io.WriteString(e.errOut, text.Usage)
		return o, false
	}
	return o, true
}

// defaultAuthor returns the name of the user that runs the process.
func defaultAuthor() string {
	u, err := user.Current()
	if err != nil {
		return unknownAuthor
	}
	return u.Username
}

// client returns a client of the platform.
func (o options) client() *platform.Client {
	return platform.New(o.platformAddress)
}

// fleet returns a client of the fleet, with the balancers of the flag -balancers as seeds.
func (o options) fleet() *fleet.Fleet {
	var seeds []string
	for _, s := range strings.Split(o.balancerAddresses, ",") {
		if s != "" {
			seeds = append(seeds, s)
		}
	}
	return fleet.New(seeds, o.creds)
}

// fail prints err and returns the exit status for a failure.
func (e Env) fail(err error) int {
	io.WriteString(e.errOut, err.Error()+"\n")
	return program.StatusFailed
}
