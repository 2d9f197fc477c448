package profile

// Values from which the fields of the synthetic records are picked.
var (
	surnames = []string{
		"Bakker", "de Boer", "Dekker", "Dijkstra", "van Dongen", "Hoekstra", "Jansen", "de Jong",
		"Kok", "Kramer", "Meijer", "Mulder", "Peters", "Postma", "Prins", "Schouten",
		"Smit", "Veenstra", "Visser", "de Vries", "Vos", "van der Wal", "Wiersma", "Zijlstra",
	}
	givenNames = []string{
		"Aaltje", "Antje", "Cornelis", "Dirk", "Elisabeth", "Geertje", "Gerrit", "Grietje",
		"Hendrik", "Jacob", "Jan", "Klaas", "Maria", "Neeltje", "Pieter", "Trijntje",
	}
	parishes = []string{
		"Alkmaar", "Bolsward", "Delft", "Dokkum", "Enkhuizen", "Franeker", "Gouda", "Harlingen",
		"Hoorn", "Leeuwarden", "Leiden", "Medemblik", "Naarden", "Sneek", "Workum", "Zutphen",
	}
	events       = []string{"baptism", "marriage", "burial", "probate"}
	distilleries = []string{
		"Aber Falls", "Coles", "Cwm Teifi", "Dyfi Vale", "Glan Conwy", "Llyn Brianne", "Penderyn", "Ystwyth",
	}
	warehouses = []string{"Barry Bond", "Holyhead Bond", "Llanelli Bond", "Newport Bond", "Swansea Bond", "Wrexham Bond"}
	holders    = []string{
		"Bevan Casks", "Caradog Trading", "Evans Brokers", "Gwilym Estates", "Howell Spirits", "Madoc Cellars",
		"Morgan Reserve", "Owain Holdings", "Pryce Merchants", "Rhys Vintners",
	}
)
