//! Encodes the decisions' orders for the store.

use ravenspar_steward::{Order, Steward, Time, FULL_WEIGHT};
use serde_json::{json, Value};

use super::Session;

impl Session {
    /// Drains the current orders of the decisions, each with its encoded text.
    pub(super) fn orders(
        &mut self,
        now: Time,
        next: fn(&mut Steward, Time) -> Option<Order>,
    ) -> Vec<(Order, String)> {
        let mut orders = Vec::new();
        while let Some(order) = next(&mut self.steward, now) {
            match order {
                Order::Remind { at } => self.wake_at = Some(at),
                // The list is always watched, so this needs no order.
                Order::SubscribeList => {}
                order => {
                    let text = self.text(&order);
                    orders.push((order, text));
                }
            }
        }
        orders
    }

    /// Encodes one order as the store expects it.
    pub(super) fn text(&self, order: &Order) -> String {
        let order = match order {
            Order::SetLine { slice, server } => {
                json!({"verb": "share", "cluster": slice, "target": self.servers.id(*server), "rps": FULL_WEIGHT})
            }
            Order::DropLines { slice } => json!({"verb": "clear", "cluster": slice}),
            Order::SetLevel { slice, kinds, share } => {
                let named = self.names.classes.iter().enumerate().filter(|(k, _)| kinds & (1 << k) != 0);
                let routes: Vec<&String> = named.map(|(_, name)| name).collect();
                let mut level = json!({"verb": "admit", "admit": share, "policy": 0, "routes": routes});
                if let Some(slice) = slice {
                    level["cluster"] = json!(slice);
                }
                level
            }
            Order::Withdraw { server, out } => {
                let verb = if *out { "withdraw" } else { "restore" };
                json!({"verb": verb, "target": self.servers.id(*server)})
            }
            Order::Mark { number } => json!({"verb": "mark", "nonce_out": number, "flag": 1}),
            Order::SubscribeList | Order::Remind { .. } => Value::Null,
        };
        order.to_string()
    }
}
