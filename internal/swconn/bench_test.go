package swconn

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
)

// BenchmarkReadResponse reads responses of the size of a shard's part, of a large part and of a large answer.
func BenchmarkReadResponse(b *testing.B) {
	for _, size := range []int{400, 6_000, 200_000} {
		text := fmt.Sprintf("%sSignature: 3e1b.07.5a2.600.0.c9f2a4d1\r\nContent-Length: %d\r\n\r\n%s", okHeader, size, strings.Repeat("x", size))
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			limits := Limits{Memory: NewMemory(1 << 20)}
			b.ReportAllocs()
			for b.Loop() {
				response, err := NewReader(bytes.NewReader([]byte(text)), limits).ReadResponse("GET")
				if err != nil {
					b.Fatal(err)
				}
				release(response)
			}
		})
	}
}

func release(response *Response) { response.Release() }
