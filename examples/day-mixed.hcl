# A mixed day: a node hangs, a link is cut, answers are lost, connections break, and a gateway is killed outright.
seed     = 7
length   = "22s"
config   = "canteen.hcl"
gateways = 2

node "a" {
  shard = 0
  cores = 2
  unit  = "4ms"
  queue = 64
}
node "b" {
  shard = 1
  cores = 2
  unit  = "4ms"
  queue = 64
}
node "c" {
  shard = 2
  cores = 2
  unit  = "6ms"
  queue = 64
  put_off = 0.3
}

client "kitchen" {
  count  = 4
  volume = "orders"
  do     = "read"
  rate   = 15
  files  = 3
  blocks = 4
  retries = 1
}
client "cook" {
  count  = 2
  volume = "orders"
  do     = "write"
  rate   = 8
  files  = 2
  blocks = 4
  retries = 1
}
client "office" {
  count  = 2
  volume = "orders"
  do     = "create"
  rate   = 3
  retries = 1
}
client "billing" {
  count  = 2
  volume = "exports"
  do     = "read"
  rate   = 5
  bytes  = 131072
  files  = 2
  blocks = 4
}
client "trial" {
  count  = 2
  volume = "trial"
  do     = "read"
  rate   = 20
  files  = 2
}

trouble {
  at   = "2s"
  for  = "3s"
  node = "a"
  do   = "hang"
}
trouble {
  at   = "6s"
  for  = "3s"
  node = "b"
  do   = "cut g1"
}
trouble {
  at   = "10s"
  for  = "3s"
  node = "c"
  do   = "drop 0.2"
}
trouble {
  at   = "12s"
  node = "a"
  do   = "reset"
}
trouble {
  at      = "14s"
  for     = "2s"
  gateway = "g2"
  do      = "kill"
}
trouble {
  at   = "18s"
  for  = "1s"
  node = "b"
  do   = "refuse"
}
