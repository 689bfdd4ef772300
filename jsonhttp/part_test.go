package jsonhttp_test

import (
	"fmt"
	"net/http"

	"birchlink.dev/birchlink/jsonhttp"
)

func ExampleIsPart() {
	h := http.Header{"Content-Type": {"application/json; charset=utf-8"}}
	fmt.Println(jsonhttp.IsPart(h, []byte(`{"a": [1`)), jsonhttp.IsPart(h, []byte(`{"a": [1]}`)))
	h.Set("Content-Encoding", "gzip")
	fmt.Println(jsonhttp.IsPart(h, []byte("compressed")))
	// Output:
	// true false
	// false
}
