package sparcookie

// EvacuatedFlows returns the number of open flows on record at upstreams of an evacuated failure
// domain. Flows that this VM has not seen packets of are not among them.
func (e *Engine) EvacuatedFlows(domain string) (flows int) {
	for _, u := range e.upstreams {
		if u.evacuated && u.Domain == domain {
			flows += u.load.flows
		}
	}
	return flows
}
