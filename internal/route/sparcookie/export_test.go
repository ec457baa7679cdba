package sparcookie

// FirstCookie returns the cookie that an upstream has unless another one has it.
func FirstCookie(id uint64) Cookie { return candidate(id, 0) }
