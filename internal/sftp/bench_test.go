package sftp

import "testing"

// BenchmarkCodec encodes and decodes a WRITE packet with 32 KiB of data, without a connection.
func BenchmarkCodec(b *testing.B) {
	data := make([]byte, 32<<10)
	b.SetBytes(int64(len(data)))
	b.ReportAllocs()
	for n := 0; n < b.N; n++ {
		packet := New(Write, uint32(n)).Text("17").Uint64(uint64(n)).Tail(data)
		head, tail := packet.Bytes()
		fields := NewFields(head[5:])
		fields.Uint32()
		fields.Text()
		fields.Uint64()
		if fields.Uint32() != uint32(len(tail)) || fields.Done() != nil {
			b.Fatal("decoded packet differs from the encoded one")
		}
	}
}
