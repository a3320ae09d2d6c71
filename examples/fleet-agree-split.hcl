# A cut that splits five keepers 2 from 3, with half of the gateways on either side, while a node is replaced.
seed     = 7
length   = "16s"
config   = "canteen.hcl"
gateways = 12
keepers  = 5
lease    = "1s"
drift    = 0.01

node "a" {
  shard = 0
  cores = 2
  unit  = "3ms"
  queue = 64
}
node "b" {
  shard = 1
  cores = 2
  unit  = "3ms"
  queue = 64
}
node "c" {
  shard = 2
  cores = 2
  unit  = "3ms"
  queue = 64
}

client "kitchen" {
  count   = 12
  volume  = "orders"
  do      = "read"
  rate    = 8
  files   = 2
  blocks  = 2
  retries = 2
}
client "cook" {
  count   = 6
  volume  = "orders"
  do      = "write"
  rate    = 4
  files   = 2
  blocks  = 2
  retries = 2
}

trouble {
  at  = "3s"
  for = "6s"
  between = ["k1,k2", "k3,k4,k5"]
  do = "cut"
}
trouble {
  at  = "3s"
  for = "6s"
  between = ["k1,k2", "g7,g8,g9,g10,g11,g12"]
  do = "cut"
}
trouble {
  at  = "3s"
  for = "6s"
  between = ["k3,k4,k5", "g1,g2,g3,g4,g5,g6"]
  do = "cut"
}
trouble {
  at = "4s"
  node = "b"
  do = "replace"
}
trouble {
  at = "10s"
  node = "c"
  do = "replace"
}
