package ledger_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"birchlink.dev/birchlink/ledger"
)

func ExamplePage_Add() {
	p, _ := ledger.Parse(nil)
	k := ledger.NewKey("nbg-cargo", "draft-17")
	p.Add(ledger.Claim{Key: k[:], Holder: "first"})
	inForce, added := p.Add(ledger.Claim{Key: k[:], Holder: "second"})
	fmt.Println(inForce.Holder, added)
	// Output: first false
}

// A claim stays in force until it expires, through any sequence of further claims, encoding and
// decoding of the page, and expiry.
func TestClaimsPersistUntilExpiry(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p, err := ledger.Parse(nil)
		require.NoError(t, err)
		now := time.Unix(1_800_000_000, 0)
		made := map[ledger.Key]ledger.Claim{}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0, 1:
				k := ledger.NewKey("a", rapid.StringMatching("[a-d]").Draw(t, "key"))
				c := ledger.Claim{Key: k[:], Holder: rapid.StringMatching("[x-z]").Draw(t, "holder"), Nonce: rapid.Uint64().Draw(t, "nonce"), At: now.Unix()}
				inForce, added := p.Add(c)
				old, known := made[k]
				require.Equal(t, !known, added)
				if known {
					require.Equal(t, old, inForce)
				}
				made[k] = inForce
			case 2:
				b, err := p.Bytes()
				require.NoError(t, err)
				p, err = ledger.Parse(b)
				require.NoError(t, err)
			default:
				now = now.Add(time.Duration(rapid.IntRange(0, 50).Draw(t, "minutes")) * time.Minute)
				p.Expire(now, time.Hour)
				for k, c := range made {
					if now.Sub(time.Unix(c.At, 0)) > time.Hour {
						delete(made, k)
					}
				}
			}
			require.Equal(t, len(made), len(p.Claims))
		}
	})
}

func FuzzParse(f *testing.F) {
	f.Add([]byte{})
	f.Add([]byte{0x91, 0x94, 0xc4, 0x01, 0x00, 0xa0, 0x01, 0x01})
	f.Fuzz(func(t *testing.T, in []byte) {
		p, err := ledger.Parse(in)
		if err != nil {
			return
		}
		b, err := p.Bytes()
		require.NoError(t, err)
		reparsed, err := ledger.Parse(b)
		require.NoError(t, err)
		require.Equal(t, len(p.Claims), len(reparsed.Claims))
	})
}
