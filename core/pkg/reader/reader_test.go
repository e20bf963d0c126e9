package reader_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/crocuslanding/crocuslanding/core/gen/form"
	"github.com/crocuslanding/crocuslanding/core/pkg/reader"
	"github.com/crocuslanding/crocuslanding/core/pkg/settings"
)

const validSettings = `{"instance": "edge-1", "zone": "a", "front": "10.0.0.1:1", "readiness": "10.0.0.1:2", "fleet": "10.0.0.1:3",
	"metrics": "10.0.0.1:4", "platform": "10.0.0.2:5", "seeds": ["10.0.0.3:6"], "grace": "6s", "leave": "1700ms", "apply": "3s", "exclude": "5s"}`

func findings(data string) []string {
	r := reader.New("balancer.json", []byte(data))
	settings.CheckRelayBalancer(form.ReadRelayBalancerSettings(r), r.AddFinding)
	var list []string
	for _, f := range r.Findings() {
		list = append(list, f.Place()+" "+f.Fault())
	}
	return list
}

func TestReadReturnsValidSettings(t *testing.T) {
	is := is.New(t)
	is.Equal(len(findings(validSettings)), 0)
	s := form.ReadRelayBalancerSettings(reader.New("balancer.json", []byte(validSettings)))
	is.Equal(s.Leave(), 1700*time.Millisecond)
	is.Equal(s.Seeds(), []string{"10.0.0.3:6"})
}

func TestFindingsReportsEveryInvalidField(t *testing.T) {
	is := is.New(t)
	list := findings(`{"instance": 7, "zone": "", "front": "nowhere", "grace": "long", "verbosity": -1, "unknown": true}`)
	is.True(len(list) >= 11)
	for _, place := range []string{"instance", "zone", "front", "readiness", "fleet", "platform", "grace", "leave", "apply", "exclude", "verbosity", "unknown"} {
		found := false
		for _, f := range list {
			found = found || len(f) > len(place) && f[:len(place)+1] == place+" "
		}
		is.True(found) // each field has its finding
	}
}

func TestFindingsReportsUnreadableFile(t *testing.T) {
	is := is.New(t)
	for _, data := range []string{"", "[]", "{", "null"} {
		is.True(len(findings(data)) > 0)
	}
	is.Equal(len(reader.Open("/does/not/exist").Findings()), 1)
}

// Reading and checking the settings must not panic on any input.
func FuzzRead(f *testing.F) {
	f.Add(validSettings)
	f.Add(`{"seeds": [1]}`)
	f.Fuzz(func(_ *testing.T, data string) { findings(data) })
}
