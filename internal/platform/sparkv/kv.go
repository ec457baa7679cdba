// Package sparkv talks to the platform's key-value service.
//
// The service speaks the HTTP interface of the Consul KV store: compare-and-swap
// by ModifyIndex, blocking queries as watches, sessions as leases. Each call has a
// connection and a deadline of its own.
//
//	client := sparkv.New("127.0.0.1:8500")
//	reading, err := client.List(ctx, "", 0)
//	ok, err := client.Swap(ctx, "team/a/services/b", document, revision)
//
// An error of Swap leaves open whether the write took effect; ErrUnsent says that
// it certainly did not.
package sparkv

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"github.com/oleanderspar/oleanderspar/internal/settings/sparregistry"
)

const (
	// Root is the prefix of every key of this product.
	Root = "oleanderspar/"
	// WatchWait is how long a watch waits for a change.
	WatchWait = 5 * time.Second
	// CallTimeout bounds a call that does not wait.
	CallTimeout = 2 * time.Second

	watchSlack = 2 * time.Second
	dialWait   = time.Second
	maxBody    = 64 << 20
	indexField = "X-Consul-Index"
)

// ErrUnsent is the cause of a call that never reached the service.
const ErrUnsent = errors.ConstError("platform unavailable, nothing was sent")

type (
	// Store is what the product needs of the platform.
	Store interface {
		// List returns all entries under prefix. With after above 0 it waits up to
		// WatchWait for a revision above it.
		List(ctx context.Context, prefix string, after uint64) (Reading, error)
		// Get returns one entry; ok is false where the key does not exist.
		Get(ctx context.Context, key string) (e sparregistry.Entry, ok bool, err error)
		// Swap writes value if the key is still at revision, 0 meaning absent.
		Swap(ctx context.Context, key string, value []byte, revision uint64) (ok bool, err error)
		// Delete removes the key if it is still at revision.
		Delete(ctx context.Context, key string, revision uint64) (ok bool, err error)
	}

	// Reading is the state of a prefix at one revision.
	Reading struct {
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
	dialer := &net.Dialer{Timeout: dialWait}
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
			// Answers name no call. On a connection in use again, a late copy of one would
			// be taken for the answer to the next call, and a write for done.
			DisableKeepAlives: true,
		}},
	}
}

// Calls returns the number of calls made, each watch counting as one.
func (c *Client) Calls() uint64 { return c.calls.Load() }

// Close ends idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// List implements Store.
func (c *Client) List(ctx context.Context, prefix string, after uint64) (r Reading, err error) {
	defer annotate(&err, "list "+prefix)
	query := url.Values{"recurse": {"true"}}
	timeout := CallTimeout
	if after > 0 {
		query.Set("index", strconv.FormatUint(after, 10))
		query.Set("wait", strconv.Itoa(int(WatchWait/time.Second))+"s")
		timeout = WatchWait + watchSlack
	}
	status, header, body, err := c.call(ctx, timeout, http.MethodGet, prefix, query, nil)
	if err != nil {
		return Reading{}, err
	}
	if r.Revision, err = strconv.ParseUint(header.Get(indexField), 10, 64); err != nil {
		return Reading{}, errors.Annotate(err, indexField)
	}
	if status == http.StatusNotFound {
		return r, nil
	}
	r.Entries, err = parsePairs(body)
	return r, err
}

// Get implements Store.
func (c *Client) Get(ctx context.Context, key string) (e sparregistry.Entry, ok bool, err error) {
	defer annotate(&err, "get "+key)
	status, _, body, err := c.call(ctx, CallTimeout, http.MethodGet, key, url.Values{}, nil)
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
	_, _, body, err := c.call(ctx, CallTimeout, method, key, query, value)
	if err != nil {
		return false, err
	}
	return strings.TrimSpace(string(body)) == "true", nil
}

func (c *Client) call(ctx context.Context, timeout time.Duration, method, key string, query url.Values, value []byte) (
	status int, header http.Header, body []byte, err error,
) {
	c.calls.Add(1)
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	target := c.base + "/v1/kv/" + Root + key
	if len(query) > 0 {
		target += "?" + query.Encode()
	}
	request, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(value))
	if err != nil {
		return 0, nil, nil, err
	}
	response, err := c.http.Do(request)
	if err != nil {
		return 0, nil, nil, err
	}
	defer func() { _ = response.Body.Close() }()
	body, err = io.ReadAll(io.LimitReader(response.Body, maxBody))
	if err != nil {
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
