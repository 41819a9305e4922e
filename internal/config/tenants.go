package config

// Tenants returns the tenants' names in the order of their indices. It returns none for a deployment without tenants.
func (s *Settings) Tenants() []string {
	var names []string
	for i := range s.integerOrDefault(keyTenantCount, 0) {
		names = append(names, s.text(tenantKey(i, tenantKeyName)))
	}
	return names
}

// TenantShares returns the tenants' shares of the capacity, in the order of Tenants. A tenant without a configured share
// gets 1 divided by the number of tenants.
func (s *Settings) TenantShares() []float64 {
	shares := make([]float64, s.integerOrDefault(keyTenantCount, 0))
	for i := range shares {
		key := tenantKey(i, tenantKeyShare)
		shares[i] = s.nonNegativeOrDefault(key, 1/float64(len(shares)))
		if shares[i] <= 0 {
			s.recordError(key, "is %v, expected a share above 0", shares[i])
		}
	}
	return shares
}
