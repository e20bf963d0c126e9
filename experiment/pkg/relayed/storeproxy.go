package relayed

import "net/netip"

// platformAddress returns the address at which processes reach the store.
func (f *Fleet) platformAddress() netip.AddrPort {
	if f.storeProxy != nil {
		return netip.MustParseAddrPort(f.storeProxy.Address())
	}
	return f.address(f.ip(250, 1), portOffsetStore)
}

// SilenceStore makes all open connections to the store silent for good; new ones work. It requires Config.HasStoreProxy.
func (f *Fleet) SilenceStore() {
	f.storeProxy.Silence()
}
