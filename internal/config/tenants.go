package config

// Tenants returns the tenants' names in the order of their numbers; none for a deployment without tenants.
func (s *Settings) Tenants() []string {
	var names []string
	for i := range s.integerOrDefault(keyTenantCount, 0) {
		names = append(names, s.text(tenantKey(i, tenantKeyName)))
	}
	return names
}

// TenantShares returns the tenants' shares of the whole in the order of Tenants, equal ones where none is configured.
func (s *Settings) TenantShares() []float64 {
	shares := make([]float64, s.integerOrDefault(keyTenantCount, 0))
	for i := range shares {
		key := tenantKey(i, tenantKeyShare)
		shares[i] = s.figureOrDefault(key, 1/float64(len(shares)))
		if shares[i] <= 0 {
			s.recordError(key, "is %v, no share", shares[i])
		}
	}
	return shares
}
