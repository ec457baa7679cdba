// Package sparstore is a fake of the platform's key-value service, for tests and the
// demo. It implements the part of the Consul KV interface that the product uses, and can
// fail calls, delay them, and lose the responses to writes that took effect:
//
//	s := sparstore.New()
//	server := httptest.NewServer(s)
//	s.SetFaults(sparstore.Faults{Down: true})
package sparstore

import (
	"maps"
	"net/http"
	"sort"
	"strings"
	"sync"
	"time"
)

type (
	// Faults configures the faults of a store.
	Faults struct {
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
		faults   Faults
		snapshot map[string]value
		calls    uint64
	}

	value struct {
		data   []byte
		create uint64
		modify uint64
	}
)

// New returns an empty store.
func New() *Store {
	return &Store{values: map[string]value{}, index: 1, changed: make(chan struct{})}
}

// SetFaults sets the faults from now on.
func (s *Store) SetFaults(faults Faults) {
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
