package scenario

import (
	"context"
	"net/http"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/grpc/credentials/insecure"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
	"github.com/crocuslanding/crocuslanding/core/pkg/mark"
	"github.com/crocuslanding/crocuslanding/experiment/pkg/deployment"
	"github.com/crocuslanding/crocuslanding/experiment/pkg/process"
	"github.com/crocuslanding/crocuslanding/experiment/pkg/traffic"
	"github.com/crocuslanding/crocuslanding/landingctl/pkg/command"
	"github.com/crocuslanding/crocuslanding/landingctl/pkg/fleet"
)

const (
	repository   = "../../.."
	processFeeds = 20
	deskAddress  = "127.0.0.1:26040"
	platformAt   = "127.0.0.1:26000"
	balancersAt  = "127.0.0.1:26011,127.0.0.1:26012,127.0.0.1:26013"
)

// processes is Skręcik's deployment as separate processes.
type processes struct {
	byName map[string]*process.Process
	bin    string
	logs   string
}

func startProcesses(t *testing.T) *processes {
	t.Helper()
	p := &processes{byName: map[string]*process.Process{}, bin: t.TempDir(), logs: t.TempDir()}
	if err := process.Build(repository, p.bin, "balancer", "sidecar", "standin"); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		for _, running := range p.byName {
			_ = running.Thaw()
			running.Kill()
		}
	})
	p.start(t, "standin", "platform", "platform")
	for _, path := range settingsOf(t, "balancer-*.json") {
		p.start(t, "balancer", nameOf(path))
	}
	for _, path := range settingsOf(t, "sidecar-*.json") {
		p.start(t, "sidecar", nameOf(path))
	}
	for _, path := range settingsOf(t, "upstream-*.json") {
		p.start(t, "standin", nameOf(path), "upstream")
	}
	p.start(t, "standin", "fabric", "fabric")
	return p
}

func settingsOf(t *testing.T, pattern string) []string {
	t.Helper()
	paths, err := filepath.Glob(filepath.Join(repository, "deploy/skrecik", pattern))
	if err != nil || len(paths) == 0 {
		t.Fatal("no settings for " + pattern)
	}
	return paths
}

func nameOf(path string) string {
	base := filepath.Base(path)
	return base[:len(base)-len(".json")]
}

// start starts one program with the settings of this name; words are arguments before its flags.
func (p *processes) start(t *testing.T, program, name string, words ...string) {
	t.Helper()
	settings := filepath.Join(repository, "deploy/skrecik", name+".json")
	args := slices.Concat(words, []string{"-settings", settings})
	running, err := process.Start(filepath.Join(p.logs, name), filepath.Join(p.bin, program), args...)
	if err != nil {
		t.Fatal(err)
	}
	p.byName[name] = running
}

// ctl runs a command of landingctl against the processes and returns its status.
func ctl(t *testing.T, run func(command.Env, []string) int, args ...string) int {
	t.Helper()
	e := command.NewEnv(context.Background(), t.Output(), t.Output())
	return run(e, append([]string{"-platform", platformAt, "-balancers", balancersAt}, args...))
}

// awaitTargets waits until every balancer that answers has this number of serving targets.
func awaitTargets(t *testing.T, count int) {
	t.Helper()
	f := fleet.New([]string{"127.0.0.1:26011", "127.0.0.1:26012", "127.0.0.1:26013"}, insecure.NewCredentials())
	defer f.Close()
	err := deployment.Await(func() bool {
		for _, s := range f.QueryStatus(context.Background(), landing.StatusRequest{}) {
			if s.Err() == nil && s.Report().Roster().TargetsLen() != count {
				return false
			}
		}
		return true
	})
	if err != nil {
		t.Fatal(err)
	}
}

func openProcessFeeds(t *testing.T) []*traffic.Feed {
	t.Helper()
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	var feeds []*traffic.Feed
	err := deployment.Await(func() bool {
		f, err := traffic.OpenFeed(client, deskAddress)
		if err == nil {
			feeds = append(feeds, f)
		}
		return len(feeds) == processFeeds
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		for _, f := range feeds {
			f.Close()
		}
	})
	return feeds
}

func TestProcessesKilledAndFrozen(t *testing.T) {
	is := is.New(t)
	p := startProcesses(t)
	is.NoErr(deployment.Await(func() bool {
		return ctl(t, command.Apply, filepath.Join(repository, "deploy/skrecik/lists.json")) == 0
	}))
	awaitTargets(t, 10)
	feeds := openProcessFeeds(t)
	awaitProgress(t, feeds)

	p.byName["balancer-1"].Kill()
	delete(p.byName, "balancer-1")
	awaitProgress(t, feeds)

	is.NoErr(p.byName["balancer-2"].Freeze())
	awaitProgress(t, feeds)
	p.start(t, "balancer", "balancer-1")
	is.Equal(ctl(t, command.Zone, "-wait", "0s", "out", "pl-central-b"), 0)
	is.NoErr(p.byName["balancer-2"].Thaw())
	awaitMark(t, "pl-central-b")

	for _, f := range feeds {
		if zoneOfBooking(f.Instance()) == "pl-central-b" {
			is.NoErr(deployment.Await(func() bool { return f.Err() != nil }))
			continue
		}
		awaitProgress(t, []*traffic.Feed{f})
		is.NoErr(f.Err())
	}
	for _, f := range feeds {
		f.Close()
	}
	for _, kind := range []string{"upstream", "sidecar", "fabric", "balancer", "platform"} {
		p.stopAll(t, kind)
	}
	is.Equal(len(p.byName), 0)
}

// stopAll asks all processes whose name begins with kind to stop, and waits for their exit status 0.
func (p *processes) stopAll(t *testing.T, kind string) {
	t.Helper()
	var stopping sync.WaitGroup
	for name, running := range p.byName {
		if !strings.HasPrefix(name, kind) {
			continue
		}
		delete(p.byName, name)
		stopping.Go(func() {
			if err := running.Stop(); err != nil {
				t.Errorf("%s: %v", name, err)
			}
		})
	}
	stopping.Wait()
}

// awaitMark waits until all three balancers have the zone out, the one that was frozen as well.
func awaitMark(t *testing.T, zone string) {
	t.Helper()
	f := fleet.New([]string{"127.0.0.1:26011", "127.0.0.1:26012", "127.0.0.1:26013"}, insecure.NewCredentials())
	defer f.Close()
	begin := time.Now()
	err := deployment.Await(func() bool {
		out := 0
		for _, s := range f.QueryStatus(context.Background(), landing.StatusRequest{}) {
			if s.Err() == nil && mark.IsExcluded(s.Report().Marks(), landing.Target{}.WithZone(zone)) {
				out++
			}
		}
		return out == 3
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("out at the balancer that was frozen %.1f s after it went on", time.Since(begin).Seconds())
}

// zoneOfBooking returns the zone of an instance of bookings, as the settings have it.
func zoneOfBooking(instance string) string {
	zones := []string{"pl-central-a", "pl-central-b", "pl-central-c"}
	number := int(instance[len(instance)-1] - '0')
	return zones[(number-1)%len(zones)]
}
