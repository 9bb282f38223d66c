# Many short circuits with moves, crashes and floods: for a build with the race detector, told by --arm race after
#   go build -race -o bin/race/ ./cmd/sabletally
experiment {
  title  = "Ten thousand short circuits through moves, crashes and floods"
  mode   = "sockets"
  length = "75s"
  seeds  = [1]
}

world {
  balancers    = 3
  zones        = 2
  message_each = "300ms"
  notice       = ["100ms", "500ms"]
  sheds        = "2s"

  limits {
    cores     = 2
    memory_mb = 1024
    sockets   = 4096
  }
  warmup {
    for = "6s"
  }
  server "std" {
    count = 12
    cores = 4
    fills = 40
    setup = "2ms"
  }
}

load {
  standing = 300
  fill     = "4s"
  rate     = 140
  life     = "4s"
  groups   = 100
}

fault "drain" {
  at    = "8s"
  part  = "17%"
  drain = "2s"
}
fault "release" {
  at    = "14s"
  for   = "8s"
  part  = "50%"
  batch = "17%"
  drain = "2s"
}
fault "crash" {
  at   = "28s"
  for  = "4s"
  part = "25%"
}
fault "torn-lines" {
  at   = "35s"
  for  = "3s"
  part = "17%"
}
fault "reconnect" {
  at   = "40s"
  for  = "1s"
  part = "50%"
}
fault "bad-clients" {
  at   = "6s"
  for  = "60s"
  rate = 20
}
fault "slow" {
  at    = "45s"
  for   = "6s"
  part  = "25%"
  times = 6
}
fault "balancer-restart" {
  at   = "52s"
  for  = "10s"
  part = "100%"
}
fault "balancer-crash" {
  at   = "68s"
  for  = "1s"
  part = "33%"
}

arm "ours" {}
arm "race" {
  binary = "bin/race/sabletally"
}
