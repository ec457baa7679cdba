package sparconfig

import "math"

const (
	// MaxSize is the highest capacity class. It is above that of maxCores and maxLink.
	MaxSize = 32
	// classCores and classLink are the processor cores and the link, in megabits per second, of
	// class 1: half of the smallest VM in use. Each class above has twice as much.
	classCores = 1.0 / 16
	classLink  = 5.0
)

// Class returns the capacity class: 1 or more, and one more for each doubling of cores and link.
// What the VM has least of decides. The class is 0 if either is unknown.
func (c Capacity) Class() int {
	least := min(c.Cores/classCores, c.Link/classLink)
	if !(least > 0) {
		return 0
	}
	return 1 + int(min(max(math.Log2(least), 0), MaxSize-1))
}

// Class returns the capacity class of v, 0 if it is unknown or out of range.
func (v VM) Class() int {
	if v.Size < 0 || v.Size > MaxSize {
		return 0
	}
	return v.Size
}

// class returns the capacity class that the settings give the VM.
func (f File) class() int {
	if carrier, ok := f.CarrierSettings().(CookieCarrier); ok {
		return carrier.Capacity.Class()
	}
	return 0
}
