// Package sparstore is a fake of the platform's key-value service, for tests and the
// demo. It implements the part of the Consul KV interface that the product uses, and can
// fail calls, delay them, and lose the responses to writes that took effect:
//
//	s := sparstore.New()
//	server := httptest.NewServer(s)
//	s.SetFaults(sparstore.Trouble{Down: true})
package sparstore

import (
	"encoding/json"
	"io"
	"maps"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	keysPath    = "/v1/kv/"
	faultsPath  = "/trouble"
	maxValue    = 1 << 20
	defaultWait = 5 * time.Minute
)

type (
	// Trouble configures the faults of a store.
	Trouble struct {
		Down  bool          `json:"down"`  // close the connection of every call without a response
		Slow  time.Duration `json:"slow"`  // delay of each call, in nanoseconds
		Lose  int           `json:"lose"`  // number of writes that take effect without a response
		Stale bool          `json:"stale"` // reads return the values of the moment when this was set
	}

	// Store is a fake key-value service. Use New.
	Store struct {
		mu       sync.Mutex
		values   map[string]value
		index    uint64
		changed  chan struct{}
		faults   Trouble
		snapshot map[string]value
		calls    uint64
	}

	value struct {
		data   []byte
		create uint64
		modify uint64
	}

	pair struct {
		Key         string
		Value       []byte
		CreateIndex uint64
		ModifyIndex uint64
		LockIndex   uint64
		Flags       uint64
	}
)

// New returns an empty store.
func New() *Store {
	return &Store{values: map[string]value{}, index: 1, changed: make(chan struct{})}
}

// SetFaults sets the faults from now on.
func (s *Store) SetFaults(faults Trouble) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
	s.snapshot = nil
	if faults.Stale {
		s.snapshot = map[string]value{}
		for k, v := range s.values {
			s.snapshot[k] = v
		}
	}
	s.notify()
}

// Calls returns the number of calls so far. A watch that waits counts as one.
func (s *Store) Calls() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// Put writes a key without a condition, as the platform does for its list of VMs. It
// returns the new revision.
func (s *Store) Put(key string, data []byte) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(key, data)
	return s.index
}

// Remove deletes a key without a condition.
func (s *Store) Remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.values[key]; ok {
		s.index++
		delete(s.values, key)
		s.notify()
	}
}

// Copy is the content of a store at one moment.
type Copy struct {
	values map[string]value
	index  uint64
}

// Copy returns a copy of the content, for Restore.
func (s *Store) Copy() Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Copy{values: maps.Clone(s.values), index: s.index}
}

// Restore replaces the content by an older copy. The index goes back, and watches end.
func (s *Store) Restore(c Copy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.values, s.index = maps.Clone(c.values), c.index
	s.notify()
}

// ServeHTTP implements the KV interface, and sets the faults on PUT /trouble.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == faultsPath {
		s.serveFaults(w, r)
		return
	}
	key, ok := strings.CutPrefix(r.URL.Path, keysPath)
	if !ok {
		http.NotFound(w, r)
		return
	}
	s.mu.Lock()
	s.calls++
	faults := s.faults
	s.mu.Unlock()
	if faults.Slow > 0 {
		time.Sleep(faults.Slow)
	}
	if faults.Down {
		panic(http.ErrAbortHandler)
	}
	switch r.Method {
	case http.MethodGet:
		s.serveGet(w, r, key)
	case http.MethodPut, http.MethodDelete:
		s.serveChange(w, r, key)
	default:
		http.Error(w, "method not allowed", http.StatusMethodNotAllowed)
	}
}

func (s *Store) serveFaults(w http.ResponseWriter, r *http.Request) {
	var faults Trouble
	if err := json.NewDecoder(r.Body).Decode(&faults); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFaults(faults)
}

func (s *Store) serveGet(w http.ResponseWriter, r *http.Request, key string) {
	query := r.URL.Query()
	after, _ := strconv.ParseUint(query.Get("index"), 10, 64)
	wait, err := time.ParseDuration(query.Get("wait"))
	if err != nil {
		wait = defaultWait
	}
	recurse := query.Has("recurse")
	pairs, index := s.read(key, recurse)
	deadline := time.NewTimer(wait)
	defer deadline.Stop()
	for after > 0 && index <= after {
		changed := s.nextChange()
		before := index
		if pairs, index = s.read(key, recurse); index > after || index < before {
			break
		}
		select {
		case <-changed:
			if s.down() {
				panic(http.ErrAbortHandler)
			}
			continue
		case <-r.Context().Done():
			return
		case <-deadline.C:
		}
		break
	}
	w.Header().Set("X-Consul-Index", strconv.FormatUint(index, 10))
	w.Header().Set("Content-Type", "application/json")
	if len(pairs) == 0 {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	_ = json.NewEncoder(w).Encode(pairs)
}

func (s *Store) serveChange(w http.ResponseWriter, r *http.Request, key string) {
	data, err := io.ReadAll(io.LimitReader(r.Body, maxValue+1))
	if err != nil || len(data) > maxValue {
		http.Error(w, "value too large", http.StatusRequestEntityTooLarge)
		return
	}
	expect, conditional := uint64(0), r.URL.Query().Has("cas")
	if conditional {
		expect, _ = strconv.ParseUint(r.URL.Query().Get("cas"), 10, 64)
	}
	ok, lost := s.change(r.Method, key, data, expect, conditional)
	if lost {
		panic(http.ErrAbortHandler)
	}
	_, _ = io.WriteString(w, strconv.FormatBool(ok))
}

func (s *Store) change(method, key string, data []byte, expect uint64, conditional bool) (ok, lost bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if conditional && s.values[key].modify != expect {
		return false, false
	}
	if method == http.MethodDelete {
		s.index++
		delete(s.values, key)
		s.notify()
	} else {
		s.write(key, data)
	}
	if s.faults.Lose > 0 {
		s.faults.Lose--
		return true, true
	}
	return true, false
}

func (s *Store) write(key string, data []byte) {
	s.index++
	v := s.values[key]
	if v.create == 0 {
		v.create = s.index
	}
	v.data, v.modify = data, s.index
	s.values[key] = v
	s.notify()
}

func (s *Store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) nextChange() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

func (s *Store) down() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults.Down
}

func (s *Store) read(key string, recurse bool) (pairs []pair, index uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	source, index := s.values, s.index
	if s.snapshot != nil {
		source, index = s.snapshot, 0
		for _, v := range source {
			index = max(index, v.modify)
		}
	}
	for k, v := range source {
		if k == key || recurse && strings.HasPrefix(k, key) {
			pairs = append(pairs, pair{Key: k, Value: v.data, CreateIndex: v.create, ModifyIndex: v.modify})
		}
	}
	sort.Slice(pairs, func(i, j int) bool { return pairs[i].Key < pairs[j].Key })
	return pairs, index
}
