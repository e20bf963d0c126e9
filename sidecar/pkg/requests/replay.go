package requests

import (
	"bytes"
	"io"
	"net/http"

	"github.com/crocuslanding/crocuslanding/core/pkg/retry"
)

// maxReplayBytes is the length of the longest body that is kept to be sent again.
const maxReplayBytes = 64 << 10

// replay is the body of a request. A short one of an idempotent request can be read more than once.
type requestBody struct {
	buffered []byte
	stream   io.ReadCloser
}

// newReplay reads a short body of an idempotent request. It returns an error when the body breaks off.
func newRequestBody(r *http.Request) (*requestBody, error) {
	if r.ContentLength == 0 {
		return &requestBody{}, nil
	}
	if r.ContentLength < 0 || r.ContentLength > maxReplayBytes || !retry.IsIdempotent(r.Method) {
		return &requestBody{stream: r.Body}, nil
	}
	kept, err := io.ReadAll(r.Body)
	if err != nil {
		return nil, err
	}
	return &requestBody{buffered: kept}, nil
}

func (p *requestBody) isReplayable() bool {
	return p.stream == nil
}

func (p *requestBody) reader() io.ReadCloser {
	if p.stream != nil {
		return p.stream
	}
	if len(p.buffered) == 0 {
		return http.NoBody
	}
	return io.NopCloser(bytes.NewReader(p.buffered))
}
