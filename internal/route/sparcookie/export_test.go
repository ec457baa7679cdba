package sparcookie

// FirstCookie returns the cookie of the upstream with the ID, unless another upstream
// already has that cookie.
func FirstCookie(id uint64) Cookie { return candidateCookie(id, 0) }
