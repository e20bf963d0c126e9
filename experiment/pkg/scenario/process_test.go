package scenario

import (
	"context"
	"net/http"
	"os"
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
	repositoryRoot    = "../../.."
	processFeedCount  = 20
	deskAddress       = "127.0.0.1:26040"
	platformAddress   = "127.0.0.1:26000"
	balancerAddresses = "127.0.0.1:26011,127.0.0.1:26012,127.0.0.1:26013"
)

// processes is the deployment described in deploy/skrecik, as separate processes.
type processes struct {
	// byName contains the running processes by the base name of their settings file.
	byName       map[string]*process.Process
	binaryFolder string
	logFolder    string
}

// startProcesses builds the programs and starts all processes of the deployment, which are killed at the end of the test.
func startProcesses(t *testing.T) *processes {
	t.Helper()
	p := &processes{byName: map[string]*process.Process{}, binaryFolder: t.TempDir(), logFolder: t.TempDir()}
	if err := process.Build(repositoryRoot, p.binaryFolder, "balancer", "sidecar", "standin"); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		for _, running := range p.byName {
			_ = running.Resume()
			running.Kill()
		}
		if t.Failed() {
			p.printLogs(t)
		}
	})
	p.start(t, "standin", "platform", "platform")
	for _, path := range settingsFiles(t, "balancer-*.json") {
		p.start(t, "balancer", processName(path))
	}
	for _, path := range settingsFiles(t, "sidecar-*.json") {
		p.start(t, "sidecar", processName(path))
	}
	for _, path := range settingsFiles(t, "upstream-*.json") {
		p.start(t, "standin", processName(path), "upstream")
	}
	p.start(t, "standin", "fabric", "fabric")
	return p
}

// printLogs prints the last lines of the logs of all processes, since the folder of the logs is removed after the test.
func (p *processes) printLogs(t *testing.T) {
	t.Helper()
	const maxLines = 40
	paths, err := filepath.Glob(filepath.Join(p.logFolder, "*"))
	if err != nil {
		t.Log(err)
	}
	for _, path := range paths {
		b, err := os.ReadFile(path)
		if err != nil {
			t.Log(err)
			continue
		}
		lines := strings.Split(strings.TrimSpace(string(b)), "\n")
		t.Logf("%s:\n%s", filepath.Base(path), strings.Join(lines[max(len(lines)-maxLines, 0):], "\n"))
	}
}

// settingsFiles returns the paths of the deployment's settings files that match pattern.
func settingsFiles(t *testing.T, pattern string) []string {
	t.Helper()
	paths, err := filepath.Glob(filepath.Join(repositoryRoot, "deploy/skrecik", pattern))
	if err != nil || len(paths) == 0 {
		t.Fatal("no settings file in deploy/skrecik matches " + pattern)
	}
	return paths
}

// processName returns the base name of a settings file without its extension.
func processName(path string) string {
	base := filepath.Base(path)
	return base[:len(base)-len(".json")]
}

// start starts a program with the settings file of this name. The arguments in subcommand precede its flags.
func (p *processes) start(t *testing.T, program, name string, subcommand ...string) {
	t.Helper()
	settings := filepath.Join(repositoryRoot, "deploy/skrecik", name+".json")
	args := slices.Concat(subcommand, []string{"-settings", settings})
	running, err := process.Start(filepath.Join(p.logFolder, name), filepath.Join(p.binaryFolder, program), args...)
	if err != nil {
		t.Fatal(err)
	}
	p.byName[name] = running
}

// runCommand runs a command of landingctl against the processes and returns its exit status.
func runCommand(t *testing.T, run func(command.Env, []string) int, args ...string) int {
	t.Helper()
	e := command.NewEnv(context.Background(), t.Output(), t.Output())
	return run(e, append([]string{"-platform", platformAddress, "-balancers", balancerAddresses}, args...))
}

// awaitTargets waits until every balancer that responds has this number of targets in its roster.
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

// openFeedsThroughFabric opens feeds with an HTTP client that connects to the fabric process over the operating system's
// TCP stack. It repeats attempts that fail.
func openFeedsThroughFabric(t *testing.T) []*traffic.Feed {
	t.Helper()
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	var feeds []*traffic.Feed
	err := deployment.Await(func() bool {
		f, err := traffic.OpenFeed(client, deskAddress)
		if err == nil {
			feeds = append(feeds, f)
		}
		return len(feeds) == processFeedCount
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

// Open feeds continue while one balancer is killed and another suspended. When a zone is excluded meanwhile, only the feeds
// of its upstreams end, and the suspended balancer applies the exclusion after it resumes. All processes then stop with
// status 0.
func TestProcessKillAndSuspendKeepFeeds(t *testing.T) {
	is := is.New(t)
	p := startProcesses(t)
	is.NoErr(deployment.Await(func() bool {
		return runCommand(t, command.Apply, filepath.Join(repositoryRoot, "deploy/skrecik/lists.json")) == 0
	}))
	awaitTargets(t, 10)
	feeds := openFeedsThroughFabric(t)
	awaitProgress(t, feeds)

	p.byName["balancer-1"].Kill()
	delete(p.byName, "balancer-1")
	awaitProgress(t, feeds)

	is.NoErr(p.byName["balancer-2"].Suspend())
	awaitProgress(t, feeds)
	p.start(t, "balancer", "balancer-1")
	is.Equal(runCommand(t, command.Zone, "-wait", "0s", "out", "pl-central-b"), 0)
	is.NoErr(p.byName["balancer-2"].Resume())
	awaitZoneExcluded(t, "pl-central-b")

	for _, f := range feeds {
		if zoneOfBookingsInstance(f.Instance()) == "pl-central-b" {
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

// stopAll stops all processes whose name begins with kind and fails the test when one has an exit status other than 0.
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
				t.Errorf("%s did not stop with exit status 0: %v", name, err)
			}
		})
	}
	stopping.Wait()
}

// awaitZoneExcluded waits until all three balancers exclude the zone, including the one that was suspended, and logs how
// long it waited.
func awaitZoneExcluded(t *testing.T, zone string) {
	t.Helper()
	f := fleet.New([]string{"127.0.0.1:26011", "127.0.0.1:26012", "127.0.0.1:26013"}, insecure.NewCredentials())
	defer f.Close()
	startedAt := time.Now()
	err := deployment.Await(func() bool {
		excludedCount := 0
		for _, s := range f.QueryStatus(context.Background(), landing.StatusRequest{}) {
			if s.Err() == nil && mark.IsExcluded(s.Report().Marks(), landing.Target{}.WithZone(zone)) {
				excludedCount++
			}
		}
		return excludedCount == 3
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("zone excluded at all balancers after a wait of %.1f s", time.Since(startedAt).Seconds())
}

// zoneOfBookingsInstance returns the zone of an instance of the service bookings. The instances in deploy/skrecik are
// numbered from 1 and distributed over the zones in turn.
func zoneOfBookingsInstance(instance string) string {
	zones := []string{"pl-central-a", "pl-central-b", "pl-central-c"}
	number := int(instance[len(instance)-1] - '0')
	return zones[(number-1)%len(zones)]
}
