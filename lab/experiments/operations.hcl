experiment {
  title  = "A day of operators' work: upgrades, drains, a retune, a crowd at the door, clients in pieces"
  mode   = "sockets"
  length = "40s"
  seeds  = [1, 2, 3]
}

world {
  balancers    = 3
  outer_limit  = "1800ms"
  message_each = "1s"
  notice       = ["200ms", "1s"]
  server "std" { count = 12 }
}

load {
  standing = 200
  fill     = "6s"
  rate     = 12
  life     = "20s"
  groups   = 50
}

fault "upgrade" {
  at   = "8s"
  for  = "6s"
  part = "100%"
}
fault "retune" {
  at  = "10s"
  for = "8s"
}
fault "balancer-drain" {
  at   = "16s"
  for  = "6s"
  part = "67%"
}
fault "pieces" {
  at  = "20s"
  for = "15s"
}
fault "crowd" {
  at   = "28s"
  for  = "8s"
  rate = 300
}
fault "upgrade" {
  at   = "33s"
  for  = "2s"
  part = "67%"
}
