package measure

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/gravitational/trace"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
	"github.com/crocuslanding/crocuslanding/experiment/pkg/deployment"
)

const (
	downloadBytes = 50_000_000
	downloadRuns  = 5
)

// Download measures the rate of a download, alternately directly from an upstream and through the balancers.
func Download(w io.Writer) error {
	store := deployment.NewService("store", 1, 2, landing.KindRequests).WithDownloadBytes(downloadBytes)
	d, err := deployment.New(deployment.NewPlan(store), io.Discard)
	if err != nil {
		return err
	}
	defer d.Stop()
	directClient := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	t := newTable(w, fmt.Sprintf("download of %d bytes, %d runs each in turn", downloadBytes, downloadRuns))
	fmt.Fprintln(t, "RUN\tDIRECT MB/s\tTHROUGH THE PATH MB/s\tRATIO")
	for i := range downloadRuns {
		directRate, err := measureRate(directClient, d.Nodes()[0].Upstream().Address())
		if err != nil {
			return err
		}
		balancedRate, err := measureRate(d.NewClient(0), store.Address())
		if err != nil {
			return err
		}
		fmt.Fprintf(t, "%d\t%.0f\t%.0f\t%.3f\n", i+1, directRate, balancedRate, balancedRate/directRate)
	}
	return t.Flush()
}

// measureRate downloads the pack, the file that a stand-in upstream serves, once. It checks the hash of the file and
// returns the rate in MB/s.
func measureRate(client *http.Client, address string) (float64, error) {
	startedAt := time.Now()
	resp, err := client.Get("http://" + address + "/pack")
	if err != nil {
		return 0, trace.Wrap(err)
	}
	defer resp.Body.Close()
	h := sha256.New()
	n, err := io.Copy(h, resp.Body)
	if err != nil {
		return 0, trace.Wrap(err)
	}
	duration := time.Since(startedAt)
	if hex.EncodeToString(h.Sum(nil)) != resp.Header.Get("Pack-Hash") {
		return 0, trace.BadParameter("hash of the %d bytes downloaded does not match the Pack-Hash header", n)
	}
	return float64(n) / 1e6 / duration.Seconds(), nil
}
