// Package sparkv is a client of the platform's key-value service.
//
// The service has the HTTP interface of the Consul KV store: compare-and-swap by
// ModifyIndex, blocking queries as watches, sessions as leases. Each call has its own
// connection and deadline.
//
//	client := sparkv.New("127.0.0.1:8500")
//	listing, err := client.List(ctx, "", 0)
//	ok, err := client.Swap(ctx, "team/a/services/b", document, revision)
//
// After an error of Swap the write may or may not have taken effect. With ErrUnsent it has
// not.
package sparkv

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"github.com/oleanderspar/oleanderspar/internal/settings/sparregistry"
	"github.com/oleanderspar/oleanderspar/internal/wire/spartransfer"
)

const (
	// Root is the prefix of all keys of oleanderspar.
	Root = "oleanderspar/"
	// WatchWait is how long a watch waits for a change.
	WatchWait = 5 * time.Second
	// CallTimeout is how long a call may make no progress. A watch waits WatchWait longer for
	// its response to begin.
	CallTimeout = 2 * time.Second

	dialTimeout = time.Second
	maxBody     = 64 << 20 // bytes of a response body
	indexHeader = "X-Consul-Index"
)

// ErrUnsent means that a call never reached the service.
const ErrUnsent = errors.ConstError("platform unavailable, nothing was sent")

type (
	// Store is the interface to the platform's key-value service.
	Store interface {
		// List returns all entries under prefix. If after is above 0 it waits up to
		// WatchWait for a revision above after.
		List(ctx context.Context, prefix string, after uint64) (Listing, error)
		// Get returns one entry; ok is false if the key does not exist.
		Get(ctx context.Context, key string) (e sparregistry.Entry, ok bool, err error)
		// Swap writes value if the key is still at revision; 0 means that it is absent.
		Swap(ctx context.Context, key string, value []byte, revision uint64) (ok bool, err error)
		// Delete removes the key if it is still at revision.
		Delete(ctx context.Context, key string, revision uint64) (ok bool, err error)
	}

	// Listing holds the entries under a prefix at one revision.
	Listing struct {
		Entries  []sparregistry.Entry
		Revision uint64
	}

	// Client is a Store over HTTP. Use New.
	Client struct {
		base  string
		http  *http.Client
		calls atomic.Uint64
	}

	pair struct {
		Key         string
		Value       []byte
		ModifyIndex uint64
	}
)

// New returns a client for the service at an IP address and port.
func New(address string) *Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &Client{
		base: "http://" + address,
		http: &http.Client{Transport: &http.Transport{
			DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
				conn, err := dialer.DialContext(ctx, network, addr)
				if err != nil {
					return nil, errors.WithType(err, ErrUnsent)
				}
				return conn, nil
			},
			// A response doesn't identify its call. On a reused connection, a late duplicate
			// would be read as the response to the next call, and a refused write as done.
			DisableKeepAlives: true,
		}},
	}
}

// Calls returns the number of calls made. A watch counts as one.
func (c *Client) Calls() uint64 { return c.calls.Load() }

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// List implements Store.
func (c *Client) List(ctx context.Context, prefix string, after uint64) (l Listing, err error) {
	defer annotate(&err, "list "+prefix)
	query := url.Values{"recurse": {"true"}}
	wait := time.Duration(0)
	if after > 0 {
		query.Set("index", strconv.FormatUint(after, 10))
		query.Set("wait", strconv.Itoa(int(WatchWait/time.Second))+"s")
		wait = WatchWait
	}
	status, header, body, err := c.call(ctx, wait, http.MethodGet, prefix, query, nil)
	if err != nil {
		return Listing{}, err
	}
	if l.Revision, err = strconv.ParseUint(header.Get(indexHeader), 10, 64); err != nil {
		return Listing{}, errors.Annotate(err, indexHeader)
	}
	if status == http.StatusNotFound {
		return l, nil
	}
	l.Entries, err = parsePairs(body)
	return l, err
}

// Get implements Store.
func (c *Client) Get(ctx context.Context, key string) (e sparregistry.Entry, ok bool, err error) {
	defer annotate(&err, "get "+key)
	status, _, body, err := c.call(ctx, 0, http.MethodGet, key, url.Values{}, nil)
	if err != nil || status == http.StatusNotFound {
		return sparregistry.Entry{}, false, err
	}
	entries, err := parsePairs(body)
	if err != nil || len(entries) != 1 {
		return sparregistry.Entry{}, false, err
	}
	return entries[0], true, nil
}

// Swap implements Store.
func (c *Client) Swap(ctx context.Context, key string, value []byte, revision uint64) (ok bool, err error) {
	defer annotate(&err, "swap "+key)
	return c.change(ctx, http.MethodPut, key, value, revision)
}

// Delete implements Store.
func (c *Client) Delete(ctx context.Context, key string, revision uint64) (ok bool, err error) {
	defer annotate(&err, "delete "+key)
	return c.change(ctx, http.MethodDelete, key, nil, revision)
}

func (c *Client) change(ctx context.Context, method, key string, value []byte, revision uint64) (ok bool, err error) {
	query := url.Values{"cas": {strconv.FormatUint(revision, 10)}}
	_, _, body, err := c.call(ctx, 0, method, key, query, value)
	if err != nil {
		return false, err
	}
	return strings.TrimSpace(string(body)) == "true", nil
}

// call makes a call. wait is how long the service may wait before it responds.
func (c *Client) call(ctx context.Context, wait time.Duration, method, key string, query url.Values, value []byte) (
	status int, header http.Header, body []byte, err error,
) {
	c.calls.Add(1)
	target := c.base + "/v1/kv/" + Root + key
	if len(query) > 0 {
		target += "?" + query.Encode()
	}
	request, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(value))
	if err != nil {
		return 0, nil, nil, err
	}
	caller := spartransfer.Caller{Client: c.http, Stall: CallTimeout, Wait: wait}
	response, err := caller.Do(request)
	if err != nil {
		return 0, nil, nil, err
	}
	defer func() { _ = response.Body.Close() }()
	if body, err = spartransfer.ReadBody(response, maxBody); err != nil {
		return 0, nil, nil, err
	}
	if response.StatusCode != http.StatusOK && response.StatusCode != http.StatusNotFound {
		return 0, nil, nil, errors.Errorf("platform answered %s", response.Status)
	}
	return response.StatusCode, response.Header, body, nil
}

func parsePairs(body []byte) (entries []sparregistry.Entry, err error) {
	var pairs []pair
	if err := json.Unmarshal(body, &pairs); err != nil {
		return nil, err
	}
	for _, p := range pairs {
		entries = append(entries, sparregistry.Entry{
			Key: strings.TrimPrefix(p.Key, Root), Value: p.Value, Revision: p.ModifyIndex,
		})
	}
	return entries, nil
}

func annotate(err *error, call string) {
	if *err != nil {
		*err = errors.Annotate(*err, "platform: "+call)
	}
}
