//! Conversions of request ids between frames and the core crate, where the field `entry` is the
//! incarnation of the entry process that sent the request.

use agatepin_core::ids::RequestId;

use super::frames;

impl From<RequestId> for frames::RequestId {
    fn from(id: RequestId) -> Self {
        Self {
            entry_incarnation: id.entry,
            number: id.number,
        }
    }
}

impl From<frames::RequestId> for RequestId {
    fn from(id: frames::RequestId) -> Self {
        Self {
            entry: id.entry_incarnation,
            number: id.number,
        }
    }
}
