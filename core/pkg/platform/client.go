// Package platform is the client of the platform's object API.
package platform

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/gravitational/trace"
)

const (
	// MaxValueBytes is the longest value that the platform holds.
	MaxValueBytes = 1 << 20

	callTimeout = 3 * time.Second
	watchWait   = 10 * time.Second
	watchSlack  = 3 * time.Second
	objectsPath = "/objects/"
)

// Object is one object of the platform.
type Object struct {
	version uint64
	value   []byte
}

// Version returns the version of the object; 0 when there is no object.
func (o Object) Version() uint64 {
	return o.version
}

// Value returns the value of the object.
func (o Object) Value() []byte {
	return bytes.Clone(o.value)
}

// Client calls the object API. Its methods may be called from several goroutines.
type Client struct {
	base string
	http *http.Client
}

// New returns a client of the object API at this TCP address.
func New(address string) *Client {
	transport := &http.Transport{MaxIdleConnsPerHost: 8, IdleConnTimeout: time.Minute}
	return &Client{base: "http://" + address, http: &http.Client{Transport: transport}}
}

// Get returns the object of this name.
// It returns trace.NotFound when there is none, and trace.ConnectionProblem when the platform cannot be asked.
func (c *Client) Get(ctx context.Context, name string) (Object, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return c.do(ctx, http.MethodGet, name, nil, nil, nil)
}

// Watch returns the object of this name as soon as its version differs from after.
// It returns trace.LimitExceeded when it has not changed for a while or calls are limited,
// and the errors of Get. A watch never waits longer than a fixed time, so that a connection that
// went silent is noticed.
func (c *Client) Watch(ctx context.Context, name string, after uint64) (Object, error) {
	ctx, cancel := context.WithTimeout(ctx, watchWait+watchSlack)
	defer cancel()
	query := url.Values{}
	query.Set("after", strconv.FormatUint(after, 10))
	query.Set("wait", watchWait.String())
	return c.do(ctx, http.MethodGet, name, query, nil, nil)
}

// Put writes value when the object has this version; 0 means that there must be none.
// It returns trace.CompareFailed when the version differs. After trace.ConnectionProblem the
// write may have taken effect, and the caller must read the object to know.
func (c *Client) Put(ctx context.Context, name string, version uint64, value []byte) (Object, error) {
	if len(value) > MaxValueBytes {
		return Object{}, trace.BadParameter("value of %s has %d bytes, more than %d", name, len(value), MaxValueBytes)
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	header := http.Header{}
	if version == 0 {
		header.Set("If-None-Match", "*")
	} else {
		header.Set("If-Match", quote(version))
	}
	return c.do(ctx, http.MethodPut, name, nil, header, value)
}

// Close closes idle connections.
func (c *Client) Close() {
	c.http.CloseIdleConnections()
}

func (c *Client) do(ctx context.Context, method, name string, query url.Values, header http.Header, value []byte) (Object, error) {
	address := c.base + objectsPath + url.PathEscape(name) + "?" + query.Encode()
	r, err := http.NewRequestWithContext(ctx, method, address, bytes.NewReader(value))
	if err != nil {
		return Object{}, trace.Wrap(err)
	}
	if header != nil {
		r.Header = header
	}
	resp, err := c.http.Do(r)
	if err != nil {
		return Object{}, trace.ConnectionProblem(err, "%s %s", method, name)
	}
	defer resp.Body.Close()
	return readAnswer(resp, name, value)
}

func readAnswer(resp *http.Response, name string, written []byte) (Object, error) {
	body, err := io.ReadAll(io.LimitReader(resp.Body, MaxValueBytes+1))
	if err != nil {
		return Object{}, trace.ConnectionProblem(err, "answer for %s", name)
	}
	switch resp.StatusCode {
	case http.StatusOK:
		return readObject(resp, name, body, written)
	case http.StatusNotFound:
		return Object{}, trace.NotFound("no object %s", name)
	case http.StatusPreconditionFailed:
		return Object{}, trace.CompareFailed("object %s has another version", name)
	case http.StatusNotModified, http.StatusTooManyRequests:
		return Object{}, trace.LimitExceeded("%s: %s", name, resp.Status)
	default:
		return Object{}, trace.ConnectionProblem(nil, "%s: %s", name, resp.Status)
	}
}

func readObject(resp *http.Response, name string, body, written []byte) (Object, error) {
	version, err := strconv.ParseUint(strings.Trim(resp.Header.Get("ETag"), `"`), 10, 64)
	if err != nil || len(body) > MaxValueBytes {
		return Object{}, trace.ConnectionProblem(err, "object %s: answer cannot be read", name)
	}
	if written != nil {
		body = written
	}
	return Object{version: version, value: body}, nil
}

func quote(version uint64) string {
	return `"` + strconv.FormatUint(version, 10) + `"`
}
