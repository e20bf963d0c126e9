package scenario

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/gravitational/trace"
	"github.com/matryer/is"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
	"github.com/crocuslanding/crocuslanding/experiment/pkg/deployment"
	"github.com/crocuslanding/crocuslanding/landingctl/pkg/config"
)

const (
	operatorCount    = 5
	editsPerOperator = 8
)

// edit is what one operator did and learned.
type edit struct {
	baseSerial uint64
	author     string
	result     editResult
}

type editResult uint8

const (
	editAccepted editResult = iota
	editConflict
	editUnknown
)

// register is the root as the model sees it.
type rootVersion struct {
	serial uint64
	author string
}

// newRootModel returns the model of a register that changes only by an edit of its present value.
func newRootModel() porcupine.Model {
	model := porcupine.NondeterministicModel{
		Init: func() []any { return []any{rootVersion{serial: 1, author: "experiment"}} },
		Step: func(state, input, _ any) []any {
			return stepRoot(state.(rootVersion), input)
		},
	}
	return model.ToModel()
}

func stepRoot(r rootVersion, input any) []any {
	switch op := input.(type) {
	case edit:
		return stepRootEdit(r, op)
	case rootVersion:
		if op == r {
			return []any{r}
		}
	}
	return nil
}

func stepRootEdit(r rootVersion, e edit) []any {
	after := rootVersion{serial: e.baseSerial + 1, author: e.author}
	switch e.result {
	case editAccepted:
		if r.serial == e.baseSerial {
			return []any{after}
		}
	case editConflict:
		if r.serial != e.baseSerial {
			return []any{r}
		}
	case editUnknown:
		if r.serial == e.baseSerial {
			return []any{r, after}
		}
		return []any{r}
	}
	return nil
}

// journal records operations for porcupine.
type history struct {
	mu         sync.Mutex
	startedAt  time.Time
	operations []porcupine.Operation
}

func (h *history) elapsedNanos() int64 {
	return int64(time.Since(h.startedAt))
}

func (h *history) add(client int, startNanos int64, input any) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.operations = append(h.operations, porcupine.Operation{ClientId: client, Input: input, Call: startNanos, Output: nil, Return: h.elapsedNanos()})
}

func TestAcceptedListsNeverRevert(t *testing.T) {
	for s := *firstSeed; s < *firstSeed+*historyCount; s++ {
		t.Run(fmt.Sprintf("seed=%d", s), func(t *testing.T) { runEdits(t, s) })
	}
}

func runEdits(t *testing.T, seed uint64) {
	t.Helper()
	is := is.New(t)
	d := startDeployment(t, deployment.NewPlan(newDesk(1)).WithFabricSeed(seed))
	h := &history{startedAt: time.Now()}
	stop := make(chan struct{})
	var background, operators sync.WaitGroup
	background.Go(func() { injectPlatformFaults(d, seed, stop) })
	background.Go(func() { watchSerials(t, d, stop) })
	for i := range operatorCount {
		operators.Go(func() { editLists(d, h, i, seed) })
	}
	operators.Wait()
	close(stop)
	background.Wait()
	d.Platform().SetTrouble(landing.NoFault{})

	last := readRoot(t, d)
	h.add(operatorCount, h.elapsedNanos(), rootVersion{serial: last.Serial(), author: last.Author()})
	t.Logf("seed %d: version %d in force after %d edits", seed, last.Serial(), operatorCount*editsPerOperator)
	is.True(porcupine.CheckOperations(newRootModel(), h.operations))
	is.NoErr(deployment.Await(func() bool { return haveAllSerial(d, last.Serial()) }))
}

func haveAllSerial(d *deployment.Deployment, serial uint64) bool {
	for _, b := range d.Balancers() {
		if b.Snapshot().Root().Serial() != serial {
			return false
		}
	}
	for _, n := range d.Nodes() {
		if n.Snapshot().Root().Serial() != serial {
			return false
		}
	}
	return true
}

func readRoot(t *testing.T, d *deployment.Deployment) landing.ListsRoot {
	t.Helper()
	client := d.NewPlatformClient()
	defer client.Close()
	var root landing.ListsRoot
	err := deployment.Await(func() bool {
		c, err := config.Read(context.Background(), client)
		root = c.Root()
		return err == nil
	})
	if err != nil {
		t.Fatal(err)
	}
	return root
}

// makeTrouble lets the platform fail in one way after another.
func injectPlatformFaults(d *deployment.Deployment, seed uint64, stop <-chan struct{}) {
	random := rand.New(rand.NewPCG(seed, 99))
	faults := []landing.PlatformFault{landing.NoFault{}, landing.WriteAnswersLost{}, landing.CallsFail{}, landing.WriteAnswersLost{}, landing.AnswersGarbled{}}
	for {
		d.Platform().SetTrouble(faults[random.IntN(len(faults))])
		timer := time.NewTimer(time.Duration(10+random.IntN(60)) * time.Millisecond)
		select {
		case <-timer.C:
		case <-stop:
			timer.Stop()
			return
		}
	}
}

// watchSerials fails the test when any balancer goes back to older lists.
func watchSerials(t *testing.T, d *deployment.Deployment, stop <-chan struct{}) {
	t.Helper()
	highest := map[string]uint64{}
	ticker := time.NewTicker(time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			return
		case <-ticker.C:
		}
		for _, b := range d.Balancers() {
			serial := b.Snapshot().Root().Serial()
			if serial < highest[b.FrontAddress()] {
				t.Errorf("went back from %d to %d", highest[b.FrontAddress()], serial)
			}
			highest[b.FrontAddress()] = serial
		}
	}
}

// operate edits the lists again and again.
func editLists(d *deployment.Deployment, h *history, operator int, seed uint64) {
	client := d.NewPlatformClient()
	defer client.Close()
	random := rand.New(rand.NewPCG(seed, uint64(operator)))
	for i := range editsPerOperator {
		base, ok := readLists(d, h, operator)
		if !ok {
			continue
		}
		customers := base.Lists().Customers()
		customers[0] = customers[0].WithPrefixes(fmt.Sprintf("10.%d.%d.0/24", 100+operator, random.IntN(250)))
		next := base.Lists().WithCustomers(customers...)
		author := fmt.Sprintf("operator-%d-%d", operator, i)
		startNanos := h.elapsedNanos()
		_, err := config.Write(context.Background(), client, base, next, author, time.Now())
		h.add(operator, startNanos, edit{baseSerial: base.Root().Serial(), author: author, result: editResultOf(err)})
	}
}

// readBase reads the lists until the platform answers, and records what was read.
func readLists(d *deployment.Deployment, h *history, operator int) (config.Config, bool) {
	client := d.NewPlatformClient()
	defer client.Close()
	var base config.Config
	err := deployment.Await(func() bool {
		startNanos := h.elapsedNanos()
		read, err := config.Read(context.Background(), client)
		if err != nil || read.Root().Serial() == 0 {
			return false
		}
		h.add(operator, startNanos, rootVersion{serial: read.Root().Serial(), author: read.Root().Author()})
		base = read
		return true
	})
	return base, err == nil
}

func editResultOf(err error) editResult {
	switch {
	case err == nil:
		return editAccepted
	case trace.IsCompareFailed(err):
		return editConflict
	default:
		return editUnknown
	}
}
