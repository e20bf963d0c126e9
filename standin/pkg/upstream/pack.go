package upstream

import (
	"crypto/sha256"
	"encoding/hex"
	"math/rand/v2"
)

const packSeed = 7

// pack is the content of the download, the same in every upstream.
type pack struct {
	bytes []byte
	hash  string
}

func newPack(size uint64) *pack {
	var seed [32]byte
	seed[0] = packSeed
	b := make([]byte, size)
	_, _ = rand.NewChaCha8(seed).Read(b)
	sum := sha256.Sum256(b)
	return &pack{bytes: b, hash: hex.EncodeToString(sum[:])}
}
