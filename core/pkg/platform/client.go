// Package platform is the client of the platform's object API. The platform is a service outside the fleet of balancers
// and sidecars. Its object API stores versioned objects by name, over HTTP.
package platform

import (
	"bytes"
	"context"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/gravitational/trace"

	"github.com/crocuslanding/crocuslanding/core/pkg/transfer"
)

const (
	// MaxValueBytes is the size of the largest value that the platform stores.
	MaxValueBytes = 1 << 20

	// callTimeout limits the time until the response to a call other than a watch, and the time without progress of any
	// response.
	callTimeout = 3 * time.Second
	// watchTimeout is the time after which the platform answers a watch although the object has not changed.
	watchTimeout = 10 * time.Second
	// watchTimeoutMargin is the time after watchTimeout at which the client gives up a watch that has not been answered.
	watchTimeoutMargin = 3 * time.Second
	objectsPath        = "/objects/"
)

// Object is an object that was read from or written to the platform.
type Object struct {
	version uint64
	value   []byte
}

// Version returns the version of the object, which the platform changes with each write. It is 0 for the zero Object,
// which means that there is no object.
func (o Object) Version() uint64 {
	return o.version
}

// Value returns a copy of the value of the object.
func (o Object) Value() []byte {
	return bytes.Clone(o.value)
}

// Client calls the object API. Its methods may be called from several goroutines. The platform must not come back from an older
// copy of itself: once the client has noticed that, it follows the platform no more, and all calls fail.
type Client struct {
	base string
	http *http.Client
	seen *seenVersions
}

// New returns a client of the object API at this TCP address, a host and port.
func New(address string) *Client {
	// A connection that is kept open can fall silent while new ones work, which would delay the next call by its timeout.
	transport := &http.Transport{DisableKeepAlives: true}
	return &Client{base: "http://" + address, http: &http.Client{Transport: transport}, seen: newSeenVersions()}
}

// Err returns the reason why the client does not follow the platform any more, or nil.
func (c *Client) Err() error {
	_, err := c.seen.before("")
	return err
}

// Get returns the object with this name. It returns trace.NotFound when there is none, trace.LimitExceeded when the
// platform limits calls, and trace.ConnectionProblem when the platform is unreachable or fails.
func (c *Client) Get(ctx context.Context, name string) (Object, error) {
	return c.do(ctx, callTimeout, http.MethodGet, name, nil, nil, nil)
}

// Watch returns the object with this name as soon as its version differs from knownVersion. It returns
// trace.LimitExceeded when the object does not change within watchTimeout, and otherwise the errors of Get. The timeout
// ensures that a connection that has stopped responding is detected.
func (c *Client) Watch(ctx context.Context, name string, knownVersion uint64) (Object, error) {
	query := url.Values{}
	query.Set("after", strconv.FormatUint(knownVersion, 10))
	query.Set("wait", watchTimeout.String())
	return c.do(ctx, watchTimeout+watchTimeoutMargin, http.MethodGet, name, query, nil, nil)
}

// Put writes value if the object has this version, and returns the written object. Version 0 means that the object must
// not exist. It returns trace.CompareFailed when the version differs, and trace.BadParameter when value is longer than
// MaxValueBytes. After trace.ConnectionProblem the write may or may not have taken effect; the caller has to read the
// object to find out.
func (c *Client) Put(ctx context.Context, name string, version uint64, value []byte) (Object, error) {
	if len(value) > MaxValueBytes {
		return Object{}, trace.BadParameter("value of %s has %d bytes, more than %d", name, len(value), MaxValueBytes)
	}
	header := http.Header{}
	if version == 0 {
		header.Set("If-None-Match", "*")
	} else {
		header.Set("If-Match", etag(version))
	}
	return c.do(ctx, callTimeout, http.MethodPut, name, nil, header, value)
}

// do sends a request. The header of the response must come within timeout, and its body must then make progress.
func (c *Client) do(ctx context.Context, timeout time.Duration, method, name string, query url.Values, header http.Header, value []byte) (Object, error) {
	before, err := c.seen.before(name)
	if err != nil {
		return Object{}, err
	}
	address := c.base + objectsPath + url.PathEscape(name) + "?" + query.Encode()
	r, err := http.NewRequestWithContext(ctx, method, address, bytes.NewReader(value))
	if err != nil {
		return Object{}, trace.Wrap(err)
	}
	if header != nil {
		r.Header = header
	}
	response, err := transfer.Do(c.http, r, transfer.Limits{Response: timeout, Stall: callTimeout, Bytes: MaxValueBytes})
	if err != nil {
		return Object{}, trace.ConnectionProblem(err, "%s %s: %v", method, name, err)
	}
	o, err := readResponse(response, name, value)
	if err == nil || trace.IsNotFound(err) {
		if olderErr := c.seen.note(name, before, o.version, time.Now()); olderErr != nil {
			return Object{}, olderErr
		}
	}
	return o, err
}

func readResponse(response transfer.Response, name string, written []byte) (Object, error) {
	switch response.Status {
	case http.StatusOK:
		return readObject(response, name, written)
	case http.StatusNotFound:
		return Object{}, trace.NotFound("object %s does not exist", name)
	case http.StatusPreconditionFailed:
		return Object{}, trace.CompareFailed("object %s has another version", name)
	case http.StatusNotModified, http.StatusTooManyRequests:
		return Object{}, trace.LimitExceeded("object %s: platform responded with status %d", name, response.Status)
	default:
		return Object{}, trace.ConnectionProblem(nil, "object %s: platform responded with status %d", name, response.Status)
	}
}

// readObject returns the object with the version in the response. Its value is written if that is not nil, as after a
// Put, and otherwise the body of the response.
func readObject(response transfer.Response, name string, written []byte) (Object, error) {
	version, err := strconv.ParseUint(strings.Trim(response.Header.Get("ETag"), `"`), 10, 64)
	if err != nil {
		return Object{}, trace.ConnectionProblem(err, "response for object %s has no valid version", name)
	}
	value := response.Body
	if written != nil {
		value = written
	}
	return Object{version: version, value: value}, nil
}

func etag(version uint64) string {
	return `"` + strconv.FormatUint(version, 10) + `"`
}
