// Package command carries out the commands of landingctl, one in each file.
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
	// StatusConflict says that another operator's change came first.
	StatusConflict = 3
	// StatusPending says that the change was accepted but not seen in force everywhere in time.
	StatusPending = 4
)

const (
	defaultWait    = 15 * time.Second
	pollInterval   = 200 * time.Millisecond
	unknownAuthor  = "unknown"
	historyEntries = 50
)

// Env is what a command works with.
type Env struct {
	ctx    context.Context
	out    io.Writer
	errOut io.Writer
}

// NewEnv returns an environment that prints to out and errOut.
func NewEnv(ctx context.Context, out, errOut io.Writer) Env {
	return Env{ctx: ctx, out: out, errOut: errOut}
}

// options are the flags of all commands.
type options struct {
	platform  string
	balancers string
	author    string
	wait      time.Duration
	base      uint64
	port      uint
	dryRun    bool
	json      bool
	creds     credentials.TransportCredentials
	args      []string
}

// parse reads flags and arguments; false means that they are wrong.
func (e Env) parse(name string, args []string, arguments int) (options, bool) {
	var o options
	flags := flag.NewFlagSet("landingctl "+name, flag.ContinueOnError)
	flags.SetOutput(e.errOut)
	flags.StringVar(&o.platform, "platform", os.Getenv("LANDING_PLATFORM"), text.Platform)
	flags.StringVar(&o.balancers, "balancers", os.Getenv("LANDING_BALANCERS"), text.Balancers)
	flags.StringVar(&o.author, "author", defaultAuthor(), text.Author)
	flags.DurationVar(&o.wait, "wait", defaultWait, text.Wait)
	flags.Uint64Var(&o.base, "base", 0, text.Base)
	flags.UintVar(&o.port, "port", 0, text.Port)
	flags.BoolVar(&o.dryRun, "dry-run", false, text.DryRun)
	flags.BoolVar(&o.json, "json", false, text.JSON)
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
	if len(o.args) != arguments {
		io.WriteString(e.errOut, text.Usage)
		return o, false
	}
	return o, true
}

func defaultAuthor() string {
	u, err := user.Current()
	if err != nil {
		return unknownAuthor
	}
	return u.Username
}

func (o options) client() *platform.Client {
	return platform.New(o.platform)
}

func (o options) fleet() *fleet.Fleet {
	var seeds []string
	for _, s := range strings.Split(o.balancers, ",") {
		if s != "" {
			seeds = append(seeds, s)
		}
	}
	return fleet.New(seeds, o.creds)
}

// fail prints err and returns the status for a failure.
func (e Env) fail(err error) int {
	io.WriteString(e.errOut, err.Error()+"\n")
	return program.StatusFailed
}
