// Package sparchart interprets state charts from embedded files.
//
// A chart defines states, the marks of each state and the transitions for events. An
// event without a transition leaves the state unchanged:
//
//	chart := sparchart.MustParse([]byte(`{
//		"name": "door", "start": "shut",
//		"states": {
//			"shut": {"on": {"pull": "open"}},
//			"open": {"marks": ["passable"], "on": {"push": "shut"}},
//		},
//	}`))
//	state := chart.Start()
//	state = chart.Next(state, "pull")
//	chart.Has(state, "passable") // true
//
// A Chart is immutable and safe for concurrent use.
package sparchart

import (
	"encoding/json"

	"github.com/juju/errors"
	"github.com/tailscale/hujson"
)

type (
	// State is the name of a state of a chart.
	State string
	// Event is the name of an event of a chart.
	Event string
	// Mark is a named property of a state.
	Mark string

	// Chart is a parsed state chart. The zero Chart has no states; use Parse.
	Chart struct {
		document document
	}

	document struct {
		Name   string          `json:"name"`
		Start  State           `json:"start"`
		States map[State]entry `json:"states"`
	}

	entry struct {
		Marks []Mark          `json:"marks"`
		On    map[Event]State `json:"on"`
	}
)

// Parse parses a chart from JSON with comments. It checks that the start state and the
// targets of all transitions exist.
func Parse(text []byte) (c *Chart, err error) {
	defer func() {
		if err != nil {
			err = errors.Annotate(err, "state chart")
		}
	}()
	standard, err := hujson.Standardize(text)
	if err != nil {
		return nil, err
	}
	c = &Chart{}
	if err := json.Unmarshal(standard, &c.document); err != nil {
		return nil, err
	}
	if _, ok := c.document.States[c.document.Start]; !ok {
		return nil, errors.Errorf("%s: no start state %q", c.document.Name, c.document.Start)
	}
	for name, state := range c.document.States {
		for event, to := range state.On {
			if _, ok := c.document.States[to]; !ok {
				return nil, errors.Errorf("%s: %s on %s leads to no state %q", c.document.Name, name, event, to)
			}
		}
	}
	return c, nil
}

// MustParse is like Parse but panics on an error. It is for embedded charts, which tests
// parse too.
func MustParse(text []byte) *Chart {
	c, err := Parse(text)
	if err != nil {
		panic(err)
	}
	return c
}

// Start returns the initial state.
func (c *Chart) Start() State { return c.document.Start }

// Next returns the state after event in state.
func (c *Chart) Next(state State, event Event) State {
	if to, ok := c.document.States[state].On[event]; ok {
		return to
	}
	return state
}

// Has reports whether state has mark.
func (c *Chart) Has(state State, mark Mark) bool {
	for _, m := range c.document.States[state].Marks {
		if m == mark {
			return true
		}
	}
	return false
}
