package requests

import (
	"bytes"
	"io"
	"net/http"

	"github.com/crocuslanding/crocuslanding/core/pkg/retry"
)

// maxReplayBytes is the length of the longest body that is buffered so that it can be sent again.
const maxReplayBytes = 64 << 10

// requestBody is the body of a request. A short body of an idempotent request is buffered and can be read
// more than once.
type requestBody struct {
	buffered []byte
	stream   io.ReadCloser
}

// newRequestBody returns the body of r. It buffers a short body of an idempotent request, and returns an
// error when that body is incomplete.
func newRequestBody(r *http.Request) (*requestBody, error) {
	if r.ContentLength == 0 {
		return &requestBody{}, nil
	}
	if r.ContentLength < 0 || r.ContentLength > maxReplayBytes || !retry.IsIdempotent(r.Method) {
		return &requestBody{stream: r.Body}, nil
	}
	buffered, err := io.ReadAll(r.Body)
	if err != nil {
		return nil, err
	}
	return &requestBody{buffered: buffered}, nil
}

func (b *requestBody) isReplayable() bool {
	return b.stream == nil
}

func (b *requestBody) reader() io.ReadCloser {
	if b.stream != nil {
		return b.stream
	}
	if len(b.buffered) == 0 {
		return http.NoBody
	}
	return io.NopCloser(bytes.NewReader(b.buffered))
}
