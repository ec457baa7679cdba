package sparstore

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

const (
	keysPath    = "/v1/kv/"
	faultsPath  = "/trouble"
	maxValue    = 1 << 20
	defaultWait = 5 * time.Minute
)

type pair struct {
	Key         string
	Value       []byte
	CreateIndex uint64
	ModifyIndex uint64
	LockIndex   uint64
	Flags       uint64
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
	var faults Faults
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
