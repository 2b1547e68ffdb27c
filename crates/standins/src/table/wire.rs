//! Request bodies and rows of the table service in the JSON form of `DynamoDB`.

use serde::{Deserialize, Serialize};

/// Name of the table and key of the row.
pub type RowKey = (String, String);

/// Attribute of type string (`S`).
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct TextValue {
    #[serde(rename = "S")]
    pub text: String,
}

/// Attribute of type number (`N`).
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct NumberValue {
    /// Number in decimal digits.
    #[serde(rename = "N")]
    pub number: String,
}

/// Attribute of type binary (`B`).
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct BinaryValue {
    #[serde(rename = "B")]
    pub base64: String,
}

/// A row: its key `k`, its version `v` and its value `b`.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct RowItem {
    pub k: TextValue,
    pub v: NumberValue,
    pub b: BinaryValue,
}

/// Request body of `GetItem`.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct GetRequest {
    pub table_name: String,
    pub key: KeyAttributes,
}

/// Attributes that form the key of a row.
#[derive(Deserialize)]
pub struct KeyAttributes {
    pub k: TextValue,
}

/// Request body of `TransactWriteItems`.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct TransactRequest {
    pub transact_items: Vec<TransactItem>,
}

/// An item of a transaction; only puts are supported.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct TransactItem {
    pub put: PutItem,
}

/// A put of one row, which may have a condition on the present row.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct PutItem {
    pub table_name: String,
    pub item: RowItem,
    #[serde(default)]
    pub condition_expression: Option<String>,
    #[serde(default)]
    pub expression_attribute_values: Option<ConditionValues>,
}

/// Values of the placeholders in a condition.
#[derive(Deserialize)]
pub struct ConditionValues {
    /// Version that the present row must have.
    #[serde(rename = ":v")]
    pub version: NumberValue,
}

impl PutItem {
    /// Returns the table and key of the row that this put writes.
    pub fn row_key(&self) -> RowKey {
        (self.table_name.clone(), self.item.k.text.clone())
    }

    /// Returns whether the present row, if any, meets the condition, or an error if the condition
    /// is not supported.
    pub fn condition_met(&self, row: Option<&RowItem>) -> Result<bool, String> {
        match self.condition_expression.as_deref() {
            None => Ok(true),
            Some("attribute_not_exists(k)") => Ok(row.is_none()),
            Some("v = :v") => {
                let values = self
                    .expression_attribute_values
                    .as_ref()
                    .ok_or("condition \"v = :v\" has no value for :v")?;
                Ok(row.is_some_and(|row| row.v.number == values.version.number))
            }
            Some(other) => Err(format!("unsupported condition \"{other}\"")),
        }
    }
}
