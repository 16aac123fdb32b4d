package swkey

import "time"

// maintain frees the memory of expired runs in every table, and drops authorities of other issuers that have nothing to
// tell any more. It does so at most once a second.
func (service *Service) maintain() {
	now := time.Now().Unix()
	last := service.maintained.Load()
	if now == last || !service.maintained.CompareAndSwap(last, now) {
		return
	}
	var held []*authority
	service.authorities.Range(func(_ Issuer, authority *authority) bool {
		held = append(held, authority)
		return true
	})
	for _, authority := range held {
		authority.purge()
		if authority != service.own && authority.over() {
			service.authorities.Delete(authority.issuer)
		}
	}
}

// over reports whether the authority has nothing to tell and its table is empty.
func (authority *authority) over() bool {
	return authority.useful() <= 0 && authority.entries.Len() == 0
}
