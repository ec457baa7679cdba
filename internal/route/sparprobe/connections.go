package sparprobe

import "time"

const (
	// MaxConnections bounds the connections under way.
	MaxConnections = 32
	// shareTime is how long the result of a connection serves other questions.
	shareTime = 200 * time.Millisecond
)

type (
	// Connections holds the connections to upstreams under way and the results of the last ones.
	// The zero Connections has none.
	Connections struct {
		results  map[uint64]result
		underWay int
	}

	result struct {
		began   time.Duration
		done    bool
		reached bool
	}
)

// Begin reports whether a connection to the upstream is to be opened now: there is no recent one
// and the bound is not reached. Done has to be called for each one opened.
func (c *Connections) Begin(now time.Duration, mark uint64) bool {
	if r, ok := c.results[mark]; ok && (!r.done || now-r.began < shareTime) || c.underWay >= MaxConnections {
		return false
	}
	if c.results == nil {
		c.results = map[uint64]result{}
	}
	c.expire(now)
	c.results[mark] = result{began: now}
	c.underWay++
	return true
}

// Done records the result of a connection. One that took much longer than ConnectTimeout says nothing: this
// VM was paused.
func (c *Connections) Done(now time.Duration, mark uint64, reached bool) {
	r, ok := c.results[mark]
	if !ok || r.done {
		return
	}
	c.underWay--
	if !reached && now-r.began >= 2*ConnectTimeout {
		delete(c.results, mark)
		return
	}
	c.results[mark] = result{began: r.began, done: true, reached: reached}
}

// Drop takes back a connection that could not be begun.
func (c *Connections) Drop(mark uint64) {
	if r, ok := c.results[mark]; ok && !r.done {
		c.underWay--
		delete(c.results, mark)
	}
}

// Result returns the result of a connection begun lately, if it is known.
func (c *Connections) Result(now time.Duration, mark uint64) (reached, known bool) {
	r := c.results[mark]
	return r.reached, r.done && now-r.began < RoundTime
}

// expire forgets results that serve nobody any more.
func (c *Connections) expire(now time.Duration) {
	for mark, r := range c.results {
		if r.done && now-r.began >= RoundTime {
			delete(c.results, mark)
		}
	}
}
